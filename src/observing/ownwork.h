// Maintains the table of own requests in flight.
#pragma once

#include "blackboard/types/ownwork.h"
#include "observing/types/ownworktable.h"

namespace magnolia::observing
{

void onDispatched(OwnWorkTable &table, const UpstreamId &upstream, OwnAttempt attempt);
void onFirstToken(OwnWorkTable &table, const UpstreamId &upstream, const RequestId &request);
/** The request has left the upstream, with any outcome. */
void onEnded(OwnWorkTable &table, const UpstreamId &upstream, const RequestId &request);

/** Totals of the own requests at one upstream. */
[[nodiscard]] OwnWork ownWorkAt(const OwnWorkTable &table, const UpstreamId &upstream);

} // namespace magnolia::observing
