// A snapshot and its digest, computed once.
#pragma once

#include "blackboard/types/configurationsnapshot.h"

#include <cstdint>

namespace magnolia::configuration
{

struct DigestedSnapshot
{
    ConfigurationSnapshot snapshot;
    // Invariant: equals snapshotDigest(snapshot).
    std::uint64_t digest = 0;
};

} // namespace magnolia::configuration
