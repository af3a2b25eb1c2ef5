// Keeping the ledger of own work.
#pragma once

#include "blackboard/types/ownwork.h"
#include "observing/types/ownworktable.h"

namespace magnolia::observing
{

void onDispatched(OwnWorkTable &table, const UpstreamId &upstream, OwnAttempt attempt);
void onFirstToken(OwnWorkTable &table, const UpstreamId &upstream, const RequestId &request);
/** The request left the upstream, whatever became of it. */
void onEnded(OwnWorkTable &table, const UpstreamId &upstream, const RequestId &request);

/** Own work at one upstream in sum. */
[[nodiscard]] OwnWork ownWorkAt(const OwnWorkTable &table, const UpstreamId &upstream);

} // namespace magnolia::observing
