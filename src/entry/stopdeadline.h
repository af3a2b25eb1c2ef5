// Time at which the process ends, once it stops, and the requests that it ended.
#pragma once

#include "framework/global/types/time.h"

#include <atomic>

namespace magnolia::entry
{

/** Thread-safe. */
class StopDeadline
{
public:
    /** Requests that have no answer at `at` get a final one then. */
    void set(MonoTime at)
    {
        m_at = at;
    }
    /** Returns the latest time at which requests end; `MonoTime::max()` while no stop has been requested. */
    [[nodiscard]] MonoTime value() const
    {
        return m_at;
    }
    /** Records that a request was ended unfinished at the deadline. */
    void recordCutRequest()
    {
        ++m_cutRequestCount;
    }
    [[nodiscard]] int cutRequestCount() const
    {
        return m_cutRequestCount;
    }

private:
    std::atomic<MonoTime> m_at = MonoTime::max();
    std::atomic<int> m_cutRequestCount = 0;
};

} // namespace magnolia::entry
