// Who decides which engines read a prompt, and what it learns of what became of it.
#pragma once

#include "placement/types/decision.h"
#include "placement/types/placement.h"
#include "placement/types/workestimate.h"

#include <cstddef>

namespace magnolia::bench
{

class IPolicy
{
public:
    virtual ~IPolicy() = default;

    /** Upstream keys are the engines' places plus one. `instance` is the one that the caller asks. */
    [[nodiscard]] virtual placement::Decision choose(
        std::size_t instance, const placement::WorkEstimate &work, MonoTime now)
        = 0;
    virtual void onPlaced(std::size_t instance, const placement::Placement &placed, MonoTime now) = 0;
    virtual void onWriting(std::size_t instance, placement::PlacementId id, MonoTime now) = 0;
    virtual void onEnded(std::size_t instance, placement::PlacementId id, MonoTime now) = 0;
};

} // namespace magnolia::bench
