// A stream or reservation that an engine reports as holding memory.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <compare>
#include <string>

namespace magnolia::kvmemory
{

enum class AllocationKind {
    Stream,
    Reservation,
};

struct EngineAllocation
{
    UpstreamId upstream;
    AllocationKind kind = AllocationKind::Stream;
    /** Request id of a stream, or id of a reservation. */
    std::string id;
    /** `<instance>/<incarnation>` of the entry that created it. */
    std::string owner;

    // clang-tidy 14 mistakes the zero in the generated comparison for a null pointer.
    friend auto operator<=>(const EngineAllocation &, const EngineAllocation &)
        = default; // NOLINT(modernize-use-nullptr)
};

/** The way in which an allocation is handled. */
enum class AllocationAction {
    Keep,
    Release,
};

} // namespace magnolia::kvmemory
