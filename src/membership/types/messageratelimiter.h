// A token bucket that limits the rate of messages of one kind.
#pragma once

namespace magnolia::membership
{

struct MessageRateLimiter
{
    // Invariant: between zero and the burst size.
    double availableMessages = 0;
};

inline void refill(MessageRateLimiter &limiter, double burst, double perSecond, double seconds)
{
    limiter.availableMessages += perSecond * seconds;
    if (limiter.availableMessages > burst) {
        limiter.availableMessages = burst;
    }
}

/** Takes one message from the bucket; false if less than one is available. */
[[nodiscard]] inline bool tryTakeMessage(MessageRateLimiter &limiter)
{
    if (limiter.availableMessages < 1) {
        return false;
    }
    limiter.availableMessages -= 1;
    return true;
}

} // namespace magnolia::membership
