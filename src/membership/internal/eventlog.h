// Writes one log line per membership event.
#pragma once

#include "membership/types/membershipevent.h"

namespace magnolia::membership
{

void logEvent(const MembershipEvent &event);

} // namespace magnolia::membership
