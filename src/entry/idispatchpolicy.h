// Admission and the choice of upstreams, as the runner of a request uses them.
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
     * Takes the request in with the upstream for its first attempt, or refuses it at once with when to come back.
     * From here on until `recordAttemptEnd` the work counts as this instance's at that upstream.
     */
    [[nodiscard]] virtual Result<UpstreamChoice> admit(const CallerRequest &request, MonoTime now) = 0;
    /** The upstream for one more attempt, none of `triedUpstreams`; an error where the retry budget or the fleet has
     * none. */
    [[nodiscard]] virtual Result<UpstreamChoice> retry(
        const CallerRequest &request, const std::vector<UpstreamId> &triedUpstreams, MonoTime now)
        = 0;
    virtual void recordFirstToken(const CallerRequest &request, MonoTime now) = 0;
    virtual void recordAttemptEnd(
        const CallerRequest &request, const UpstreamChoice &choice, AttemptEnd end, Tokens generated, MonoTime now)
        = 0;
};

} // namespace magnolia::entry
