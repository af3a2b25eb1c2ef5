// An item of the platform's store, or a change of one.
#pragma once

#include "published/types/storeposition.h"

#include <cstdint>
#include <string>

namespace magnolia::published
{

struct StoreItem
{
    std::string key;
    std::string bytes;
    /** Revision of the store at the last change of the item. */
    std::uint64_t revision = 0;
    bool isDeleted = false;
    /** Era of the store in which the item had this revision. */
    std::uint64_t era = 0;

    [[nodiscard]] StorePosition position() const
    {
        return {era, revision};
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, bytes, revision, isDeleted, era);
    }
};

} // namespace magnolia::published
