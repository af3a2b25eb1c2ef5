// Implements the decision for requests without a configuration.
#include "gateway/internal/startupadmission.h"

#include "limits/backoff.h"

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

/** Part of a request's deadline for which it may be held. */
constexpr int holdDivisor = 8;
/** Callers honour a Retry-After of up to a third of their time; a tenth of it is left for the way to the caller. */
constexpr double honouredShare = 0.9 / 3;
/** Least time that an outage which goes on is expected to last, also the Retry-After without a deadline. */
constexpr Milliseconds minExpectedOutage{300};
/** Callers that are refused together come back over this part of the Retry-After. */
constexpr double spreadShare = 0.2;

Milliseconds retryAfter(const StartupRequest &request, Random &random)
{
    if (!request.deadline) {
        return limits::jitteredRetryAfter(minExpectedOutage, random);
    }
    const Milliseconds remaining
        = std::max(Milliseconds(0), *request.deadline - request.unreadTime - request.sinceRead);
    // An outage is expected to last about as long again as it has lasted. Coming back later than that gains nothing.
    const Milliseconds expected = std::max(minExpectedOutage, request.sinceStart);
    const double latest
        = std::min(static_cast<double>(remaining.count()) * honouredShare, static_cast<double>(expected.count()));
    return Milliseconds(static_cast<std::int64_t>(latest * (1 - spreadShare * random.unit())));
}

} // namespace

StartupDecision decideAtStartup(const StartupRequest &request, Random &random)
{
    if (!request.isRead) {
        const Milliseconds left = startupUnreadTime - request.sinceStart;
        return left.count() > 0 ? StartupDecision{StartupAction::LeaveUnread, left}
                                : StartupDecision{StartupAction::Hold, Milliseconds(0)};
    }
    const bool canHold
        = request.deadline && !request.isRelayed && request.heldSize + request.size <= request.maxHeldSize;
    if (canHold) {
        const Milliseconds left = *request.deadline / holdDivisor - request.sinceRead;
        if (left.count() > 0) {
            return {StartupAction::Hold, left};
        }
    }
    return {StartupAction::Refuse, retryAfter(request, random)};
}

} // namespace magnolia::gateway
