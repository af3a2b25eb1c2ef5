// Interface to admission control and the choice of upstreams.
#pragma once

#include "entry/types/attemptend.h"
#include "entry/types/callerrequest.h"
#include "entry/types/upstreamchoice.h"
#include "framework/global/error.h"

namespace magnolia::entry
{

class IDispatchPolicy
{
public:
    virtual ~IDispatchPolicy() = default;

    /**
     * Admits the request and returns the upstream for its first attempt, or refuses it with a retry-after time. From
     * then until `recordAttemptEnd` the request counts towards this instance's load on the upstream.
     */
    [[nodiscard]] virtual Result<UpstreamChoice> admit(const CallerRequest &request, MonoTime now) = 0;
    /**
     * Returns the upstream for one more attempt, which is none of `triedUpstreams`. Returns an error if the retry
     * budget is exhausted or no other upstream is available.
     */
    [[nodiscard]] virtual Result<UpstreamChoice> retry(
        const CallerRequest &request, const std::vector<UpstreamId> &triedUpstreams, MonoTime now)
        = 0;
    virtual void recordFirstToken(const CallerRequest &request, MonoTime now) = 0;
    virtual void recordAttemptEnd(
        const CallerRequest &request, const UpstreamChoice &choice, AttemptEnd end, Tokens generated, MonoTime now)
        = 0;
};

} // namespace magnolia::entry
