// An unsigned quantity with its unit in the type, so that tokens are never added to bytes.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace magnolia
{

/** A count of one unit. Subtraction saturates at zero: a quantity is never negative. */
template <typename Tag>
class Quantity
{
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(std::uint64_t count)
        : m_count(count)
    {
    }

    [[nodiscard]] constexpr std::uint64_t count() const
    {
        return m_count;
    }

    constexpr Quantity &operator+=(Quantity other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr Quantity &operator-=(Quantity other)
    {
        m_count = m_count > other.m_count ? m_count - other.m_count : 0;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity a, Quantity b)
    {
        return a += b;
    }
    friend constexpr Quantity operator-(Quantity a, Quantity b)
    {
        return a -= b;
    }
    // clang-tidy 14 mistakes the generated comparison with zero for one with a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend constexpr auto operator<=>(const Quantity &, const Quantity &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(m_count);
    }

private:
    std::uint64_t m_count = 0;
};

} // namespace magnolia

template <typename Tag>
struct std::hash<magnolia::Quantity<Tag>>
{
    std::size_t operator()(magnolia::Quantity<Tag> quantity) const noexcept
    {
        return std::hash<std::uint64_t>()(quantity.count());
    }
};
