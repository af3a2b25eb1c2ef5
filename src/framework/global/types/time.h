// Time points and durations. Deadlines use monotonic time; wall time is only compared between instances.
#pragma once

#include <chrono>

namespace magnolia
{

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/** Time of this instance's monotonic clock; meaningless on another instance. */
using MonoTime = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;
/** Time of day, synchronised between instances within a known skew. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

[[nodiscard]] inline Milliseconds toMilliseconds(MonoTime::duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

} // namespace magnolia
