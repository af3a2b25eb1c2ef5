// One stream or reservation that an engine reports to hold.
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
    /** Request id of a stream, id of a reservation. */
    std::string id;
    /** `<instance>/<incarnation>`. */
    std::string owner;

    // clang-tidy 14 takes the comparison with 0 inside the default for a null pointer.
    friend auto operator<=>(const EngineAllocation &, const EngineAllocation &)
        = default; // NOLINT(modernize-use-nullptr)
};

/** What to do with a held item. */
enum class AllocationAction {
    Keep,
    Release,
};

} // namespace magnolia::kvmemory
