// One request of a caller, read and checked against the configuration in force.
#pragma once

#include "blackboard/types/requestclass.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "framework/global/types/tokens.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

namespace magnolia::entry
{

struct CallerRequest
{
    RequestId id;
    RequestClass workClass;
    OrganisationId organisation;
    /** Set for model classes. */
    ModelId model;
    /** Name of the plain service; set for service classes. */
    std::string service;
    std::string method;
    /** Path and query as the caller sent them. */
    std::string callerPath;
    /** Path and query as the upstream is asked. */
    std::string upstreamPath;
    std::string contentType;
    Tokens prompt;
    Tokens maxOutput;
    bool wantsStream = false;
    std::optional<IdempotencyKey> key;
    /** Value of the Authorization field, for the instance that owns the key. Never logged. */
    std::string authorization;
    /** Value of the X-Relayed field, where another instance passed the request on; else empty. */
    std::string relayed;
    /** Shared with calls to upstreams; null where the request has no body. */
    std::shared_ptr<const std::string> body;
    MonoTime arrivedAt{};
    /** Time left on arrival, where another instance passed the request on. */
    std::optional<Milliseconds> timeLeft;
    /** Revision of the configuration that the request was checked against. */
    Revision revision;

    [[nodiscard]] MonoTime firstTokenDue() const
    {
        return arrivedAt + workClass.firstTokenTarget;
    }
    /** Invariant: not later than the class allows; earlier where another instance has used some of the time. */
    [[nodiscard]] MonoTime finishDue() const
    {
        return arrivedAt + (timeLeft ? std::min(*timeLeft, workClass.finishTarget) : workClass.finishTarget);
    }
};

} // namespace magnolia::entry
