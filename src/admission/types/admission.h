// An admitted request: its routing decision and predictions.
#pragma once

#include "routing/types/routingdecision.h"

namespace magnolia::admission
{

struct Admission
{
    routing::RoutingDecision decision;
    /** Predicted over available time, the higher ratio of first token (with its learned error) and finish; 1 is the
     * limit. */
    double utilisation = 0;
    /** Delay of the start for an organisation above an equal share. */
    Milliseconds fairnessDelay{0};
};

} // namespace magnolia::admission
