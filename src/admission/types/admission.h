// An admitted request: where it goes, and what was predicted for it.
#pragma once

#include "routing/types/routingdecision.h"

namespace magnolia::admission
{

struct Admission
{
    routing::RoutingDecision decision;
    /** Predicted first token, with its learned error, over the time left for it; 1 is the limit. */
    double utilisation = 0;
    /** How much later than others an organisation beyond its max-min share starts. */
    Milliseconds fairnessDelay{0};
};

} // namespace magnolia::admission
