// Attempts of one request so far. They decide whether it may be sent again and whether a refusal may state that it
// has not run.
#pragma once

#include "placement/types/placement.h"

#include <algorithm>
#include <vector>

namespace magnolia::gateway
{

/** Whether the request may have run in an attempt. */
enum class AttemptExecution {
    /** Nothing of the request was sent. */
    NotSent,
    /** The upstream reported that it did not run the request. */
    NotRun,
    /** The request has run or may have run. */
    MayHaveRun,
};

class AttemptHistory
{
public:
    /** Records that the request is about to be sent to `upstream`. */
    void begin(placement::UpstreamKey upstream)
    {
        ++m_count;
        m_isAttemptOpen = true;
        m_currentUpstream = upstream;
    }

    void end(AttemptExecution execution)
    {
        if (!m_isAttemptOpen) {
            return;
        }
        m_isAttemptOpen = false;
        if (execution == AttemptExecution::NotSent) {
            --m_count;
        }
        if (execution != AttemptExecution::MayHaveRun) {
            m_refusedBy.push_back(m_currentUpstream);
            return;
        }
        m_mayHaveRun = true;
        ++m_possibleRunCount;
        if (std::find(m_possiblyRunOn.begin(), m_possiblyRunOn.end(), m_currentUpstream) == m_possiblyRunOn.end()) {
            m_possiblyRunOn.push_back(m_currentUpstream);
        }
    }

    /** Whether it is certain that the request has not run and will not run. */
    [[nodiscard]] bool hasCertainlyNotRun() const
    {
        return !m_isAttemptOpen && !m_mayHaveRun;
    }
    [[nodiscard]] bool mayHaveRun() const
    {
        return m_mayHaveRun || m_isAttemptOpen;
    }
    /** Number of attempts in which the request was sent, or is about to be. */
    [[nodiscard]] int count() const
    {
        return m_count;
    }
    /** Number of attempts that have ended and in which the request may have run. */
    [[nodiscard]] int possibleRunCount() const
    {
        return m_possibleRunCount;
    }
    /** Upstreams on which the request may have run, including that of an attempt in progress. */
    [[nodiscard]] std::vector<placement::UpstreamKey> possiblyRunOn() const
    {
        std::vector<placement::UpstreamKey> all = m_possiblyRunOn;
        if (m_isAttemptOpen && std::find(all.begin(), all.end(), m_currentUpstream) == all.end()) {
            all.push_back(m_currentUpstream);
        }
        return all;
    }
    /** Upstreams that did not run the request. */
    [[nodiscard]] const std::vector<placement::UpstreamKey> &refusedBy() const
    {
        return m_refusedBy;
    }

private:
    int m_count = 0;
    int m_possibleRunCount = 0;
    bool m_isAttemptOpen = false;
    bool m_mayHaveRun = false;
    placement::UpstreamKey m_currentUpstream = 0;
    std::vector<placement::UpstreamKey> m_possiblyRunOn;
    std::vector<placement::UpstreamKey> m_refusedBy;
};

} // namespace magnolia::gateway
