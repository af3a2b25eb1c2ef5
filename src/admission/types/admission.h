// An admitted request: its routing decision and predictions.
#pragma once

#include "routing/types/routingdecision.h"

namespace magnolia::admission
{

struct Admission
{
    routing::RoutingDecision decision;
    /** Higher ratio of predicted to available time for first token (with its learned error) and finish; limit 1. */
    double utilisation = 0;
    /** Delay of the start for an organisation above an equal share. */
    Milliseconds fairnessDelay{0};
};

} // namespace magnolia::admission
