// Interface of policies, which choose the engines for a prompt and are told about the progress of their placements.
#pragma once

#include "placement/types/callertime.h"
#include "placement/types/decision.h"
#include "placement/types/placement.h"
#include "placement/types/workestimate.h"

#include <cstddef>
#include <optional>

namespace magnolia::bench
{

/** A request as the instance sees it that has received it. */
struct ReceivedRequest
{
    placement::WorkEstimate work;
    placement::CallerTime time;
    placement::ResponseTargets targets;
};

class IPolicy
{
public:
    virtual ~IPolicy() = default;

    /** `instance` received the request. The upstream key of an engine is its index plus one. */
    [[nodiscard]] virtual placement::Decision choose(std::size_t instance, const ReceivedRequest &request, MonoTime now)
        = 0;
    virtual void onPlaced(std::size_t instance, const placement::Placement &placed, MonoTime now) = 0;
    virtual void onFirstEvent(std::size_t instance, placement::PlacementId id, MonoTime now) = 0;
    /** An answer of the engine to `instance` has named this limit in requests per second, or none. */
    virtual void onLimit(
        std::size_t instance, placement::UpstreamKey engine, std::optional<double> requestsPerSecond, MonoTime now)
        = 0;
    virtual void onEnded(std::size_t instance, placement::PlacementId id, MonoTime now) = 0;
};

} // namespace magnolia::bench
