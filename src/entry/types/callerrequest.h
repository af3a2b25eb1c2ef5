// A caller's request, parsed and checked against the current configuration.
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
    RequestClass requestClass;
    OrganisationId organisation;
    /** Set for model classes. */
    ModelId model;
    /** Name of the plain service; set for service classes. */
    std::string service;
    std::string method;
    /** Path and query sent by the caller. */
    std::string callerPath;
    /** Path and query sent to the upstream. */
    std::string upstreamPath;
    std::string contentType;
    Tokens prompt;
    Tokens maxOutput;
    bool wantsStream = false;
    std::optional<IdempotencyKey> key;
    /** Value of the Authorization header, forwarded to the instance that owns the key. Never logged. */
    std::string authorization;
    /** Value of the X-Relayed header if another instance forwarded the request, else empty. */
    std::string relayedBy;
    /** Shared with calls to upstreams; null if the request has no body. */
    std::shared_ptr<const std::string> body;
    MonoTime arrivedAt{};
    /** Remaining time on arrival if another instance forwarded the request. */
    std::optional<Milliseconds> timeLeft;
    /** Revision of the configuration that the request was checked against. */
    Revision revision;

    [[nodiscard]] MonoTime firstTokenDue() const
    {
        return arrivedAt + requestClass.firstTokenTarget;
    }
    /** Never later than the class allows; earlier if another instance has used part of the time. */
    [[nodiscard]] MonoTime finishDue() const
    {
        return arrivedAt + (timeLeft ? std::min(*timeLeft, requestClass.finishTarget) : requestClass.finishTarget);
    }
};

} // namespace magnolia::entry
