// A request to a peer for its current snapshot.
#pragma once

#include "framework/global/types/ids.h"

#include <cstdint>

namespace magnolia::configuration
{

struct SnapshotRequest
{
    /** Current revision of the requesting instance, as the base of a delta; zero requests the full snapshot. */
    Revision base;
    std::uint64_t baseDigest = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(base, baseDigest);
    }
};

} // namespace magnolia::configuration
