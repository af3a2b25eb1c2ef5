// An item of the platform's store, or a change of one.
#pragma once

#include <cstdint>
#include <string>

namespace magnolia::published
{

struct StoreItem
{
    std::string key;
    std::string bytes;
    /** Revision of the store at the last change of the item; it only increases. */
    std::uint64_t revision = 0;
    bool isDeleted = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, bytes, revision, isDeleted);
    }
};

} // namespace magnolia::published
