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
/** Retry-After of a caller that states no deadline. */
constexpr Milliseconds undatedRetryAfter{300};

Milliseconds retryAfter(const StartupRequest &request, Random &random)
{
    if (!request.deadline) {
        return limits::jitteredRetryAfter(undatedRetryAfter, random);
    }
    return limits::outageRetryAfter(
        request.sinceStart, *request.deadline - request.unreadTime - request.sinceRead, random);
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
