// Waits for a condition. The timeout only guards against a hang and is not a performance target.
#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace magnolia::sessions
{

constexpr std::chrono::seconds hangGuard{60};

/** Polls `condition` until it holds. Returns false if it does not hold within `hangGuard`. */
inline bool waitUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + hangGuard;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

} // namespace magnolia::sessions
