// A string identifier of one kind of entity. Identifiers of different kinds do not convert into each other.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace magnolia
{

/** An identifier whose kind is part of its type; `Tag` only distinguishes the kinds and is never defined. */
template <typename Tag>
class StringId
{
public:
    StringId() = default;
    explicit StringId(std::string value)
        : m_value(std::move(value))
    {
    }
    explicit StringId(std::string_view value)
        : m_value(value)
    {
    }
    explicit StringId(const char *value)
        : m_value(value)
    {
    }

    [[nodiscard]] const std::string &value() const
    {
        return m_value;
    }
    [[nodiscard]] bool isEmpty() const
    {
        return m_value.empty();
    }

    // clang-tidy 14 mistakes the generated comparison with zero for one with a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const StringId &, const StringId &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(m_value);
    }

private:
    std::string m_value;
};

} // namespace magnolia

template <typename Tag>
struct std::hash<magnolia::StringId<Tag>>
{
    std::size_t operator()(const magnolia::StringId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
