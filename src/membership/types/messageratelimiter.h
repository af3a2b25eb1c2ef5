// A token bucket: how many messages of one kind may be sent now.
#pragma once

namespace magnolia::membership
{

struct MessageRateLimiter
{
    // Invariant: between zero and the burst it is refilled to.
    double availableMessages = 0;
};

inline void refill(MessageRateLimiter &limiter, double burst, double perSecond, double seconds)
{
    limiter.availableMessages += perSecond * seconds;
    if (limiter.availableMessages > burst) {
        limiter.availableMessages = burst;
    }
}

/** Takes one message off; false where none is left. */
[[nodiscard]] inline bool tryTakeMessage(MessageRateLimiter &limiter)
{
    if (limiter.availableMessages < 1) {
        return false;
    }
    limiter.availableMessages -= 1;
    return true;
}

} // namespace magnolia::membership
