// Place of a change in the order of the store's changes.
#pragma once

#include <compare>
#include <cstdint>

namespace magnolia::published
{

/**
 * The store may come back from an older copy. It then gives out revisions again, and its era is one higher, so that
 * revisions of different eras have no order among themselves.
 */
struct StorePosition
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    // clang-tidy 14 mistakes the zero in the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const StorePosition &, const StorePosition &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(era, revision);
    }
};

} // namespace magnolia::published
