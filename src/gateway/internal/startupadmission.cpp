// Implements the decision for requests without a configuration.
#include "gateway/internal/startupadmission.h"

#include "catalogue/callerbehaviour.h"
#include "limits/backoff.h"

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

/** Retry-After of a caller that states no deadline. */
constexpr Milliseconds undatedRetryAfter{300};

/**
 * Returns how long a request may be held after it has been read. Without a configuration it is not known whether the
 * response is a stream, so that the caller may leave after the least patience of streams. A refused caller waits up to
 * a third of the time that it has left for another attempt, so that being held for as long costs it no more.
 */
Milliseconds maxHoldTime(const StartupRequest &request)
{
    const Milliseconds callerTime = std::min(*request.deadline, catalogue::minStreamPatience) - request.unreadTime;
    return Milliseconds(
        static_cast<std::int64_t>(static_cast<double>(callerTime.count()) * catalogue::honouredRetryAfterShare));
}

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
        const Milliseconds left = maxHoldTime(request) - request.sinceRead;
        if (left.count() > 0) {
            return {StartupAction::Hold, left};
        }
    }
    return {StartupAction::Refuse, retryAfter(request, random)};
}

} // namespace magnolia::gateway
