// Passes a request on to the instance that owns its idempotency key, and that instance's answer back.
#pragma once

#include "entry/iidempotencycontroller.h"
#include "entry/requestrunner.h"
#include "entry/types/runreport.h"

namespace magnolia::entry
{

[[nodiscard]] RunReport relayToOwner(
    RunnerServices &services, const CallerRequest &request, ICallerAnswer &answer, const KeyOwnedBy &owner);

} // namespace magnolia::entry
