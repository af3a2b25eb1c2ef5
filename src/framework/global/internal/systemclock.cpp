// The operating system's clocks behind IClock.
#include "framework/global/systemclock.h"

namespace magnolia
{

MonoTime SystemClock::monotonicNow() const
{
    return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace magnolia
