// The status of an instance as JSON, from the blackboard.
#pragma once

#include "blackboard/blackboard.h"
#include "framework/global/types/time.h"

#include <string>

namespace magnolia::app
{

struct StatusHead
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    /** `ready`, `draining`, or the reason why the instance is not ready. */
    std::string state;
    int openRequests = 0;
    std::size_t pendingCancels = 0;
};

/** Returns the answer to a status request. */
[[nodiscard]] std::string statusJson(const StatusHead &head, const Blackboard &blackboard, MonoTime now);

} // namespace magnolia::app
