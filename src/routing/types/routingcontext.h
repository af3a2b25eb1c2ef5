// Input of a routing decision besides the request. The caller owns all data and keeps it unchanged during the call.
#pragma once

#include "blackboard/types/loadtable.h"
#include "blackboard/types/membershipview.h"
#include "blackboard/types/publishedlist.h"
#include "blackboard/types/upstreamhealth.h"
#include "observing/types/learnedrates.h"
#include "observing/types/loadestimate.h"
#include "observing/types/ownworktable.h"
#include "routing/types/longpromptengines.h"
#include "routing/types/prefixhints.h"
#include "routing/types/routingpolicy.h"

#include <cstdint>

namespace magnolia::routing
{

struct RoutingContext
{
    // Invariant: no pointer is null.
    const PublishedList *list = nullptr;
    const LoadTable *load = nullptr;
    const UpstreamHealthTable *health = nullptr;
    const MembershipView *membership = nullptr;
    const observing::OwnWorkTable *ownWork = nullptr;
    const observing::LearnedRates *rates = nullptr;
    const PrefixHintTable *prefixHints = nullptr;

    DataCentreId ownDataCentre;
    WallTime wallNow{};
    observing::FleetLoad fleetLoad;
    LongPromptEngines longPromptEngines;
    /** Whether long prompts may go to engines that are not set aside for them; a group always may. */
    bool canSpillLongPrompts = true;
    RoutingPolicy policy = RoutingPolicy::SlackAware;
    /** Position of the round-robin baseline; advanced by the caller. */
    std::uint64_t roundRobinCursor = 0;
};

} // namespace magnolia::routing
