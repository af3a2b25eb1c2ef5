// One item of the platform's store, and one change of it.
#pragma once

#include <cstdint>
#include <string>

namespace magnolia::published
{

struct StoreItem
{
    std::string key;
    std::string bytes;
    /** The store's revision at its last change; only grows. */
    std::uint64_t revision = 0;
    bool isDeleted = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, bytes, revision, isDeleted);
    }
};

} // namespace magnolia::published
