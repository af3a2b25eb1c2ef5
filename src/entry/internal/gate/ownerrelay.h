// Forwards a request to the instance that owns its idempotency key, and the answer of that instance to the caller.
#pragma once

#include "entry/iidempotencycontroller.h"
#include "entry/requestrunner.h"
#include "entry/types/runreport.h"

namespace magnolia::entry
{

/** Forwards the request to `owner` and answers the caller, with an error if the answer of the owner is incomplete. */
[[nodiscard]] RunReport relayToOwner(
    RunnerServices &services, const CallerRequest &request, ICallerAnswer &answer, const KeyOwnedBy &owner);

} // namespace magnolia::entry
