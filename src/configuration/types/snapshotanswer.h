// A peer's answer to a SnapshotRequest: its snapshot as a delta from a base revision.
#pragma once

#include "configuration/types/valueedit.h"
#include "framework/global/types/ids.h"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace magnolia::configuration
{

struct SnapshotAnswer
{
    Revision revision;
    /** Digest of the full snapshot, verified after the edits are applied. */
    std::uint64_t digest = 0;
    /** Revision that the edits apply to; zero for an empty snapshot. */
    Revision base;
    std::vector<ValueEdit> edits;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(revision, digest, base, edits);
    }
};

} // namespace magnolia::configuration
