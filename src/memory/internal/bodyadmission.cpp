// Implements the decision on bodies.
#include "memory/bodyadmission.h"

#include <algorithm>

namespace magnolia::memory
{

namespace
{

/** Callers give up a request that is not read for one second or a third of their time. */
constexpr Milliseconds maxUnread{1000};
constexpr int unreadDivisor = 3;
/** A tenth of these times is left for the way to the caller. */
constexpr double margin = 0.9;
constexpr Milliseconds minRetryAfter{100};
constexpr Milliseconds maxRetryAfter{3000};

Milliseconds scaled(double milliseconds)
{
    return Milliseconds(static_cast<std::int64_t>(milliseconds));
}

} // namespace

BodyDecision decideBody(const MemoryLimits &limits, const BodyRequest &request)
{
    if (!limits.isLimited() || request.size <= smallBody) {
        return {};
    }
    const Bytes needed = request.held + request.ahead + request.size;
    if (needed <= limits.shortage) {
        return {};
    }
    const double patience = request.deadline ? std::min(static_cast<double>(maxUnread.count()),
                                static_cast<double>(request.deadline->count()) / unreadDivisor)
                                             : static_cast<double>(maxUnread.count());
    const double left = patience * margin - static_cast<double>(request.waited.count());
    const double excess = static_cast<double>((needed - limits.shortage).count());
    // Without a release for a second, nothing is known to become free in time.
    const double expectedMs = request.releaseRate > 0 ? excess / request.releaseRate * 1000 : 1e9;
    // A body larger than all of the memory never fits.
    if (request.size <= limits.shortage && expectedMs <= left) {
        return {BodyAction::Wait, std::max(Milliseconds(1), scaled(left))};
    }
    double retryAfter = std::min(expectedMs, static_cast<double>(maxRetryAfter.count()));
    if (request.deadline) {
        const double remaining = std::max<double>(0, static_cast<double>((*request.deadline - request.waited).count()));
        retryAfter = std::min(retryAfter, remaining / unreadDivisor * margin);
    }
    return {BodyAction::Refuse, std::max(minRetryAfter, scaled(retryAfter))};
}

} // namespace magnolia::memory
