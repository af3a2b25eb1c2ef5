// What one request's attempts so far allow: how often it may be sent on, and what a refusal may say.
#pragma once

#include "placement/types/placement.h"

#include <algorithm>
#include <vector>

namespace magnolia::gateway
{

/** What is known of the request's work after an attempt. */
enum class AttemptResult {
    /** The upstream never saw it, or said that it did not run it. */
    NotRun,
    /** It may have run, or has run. */
    MayHaveRun,
};

class AttemptHistory
{
public:
    /** The request is about to leave for `upstream`. */
    void begin(placement::UpstreamKey upstream)
    {
        ++m_count;
        m_isAttemptOpen = true;
        m_currentUpstream = upstream;
    }

    void end(AttemptResult result)
    {
        if (!m_isAttemptOpen) {
            return;
        }
        m_isAttemptOpen = false;
        if (result == AttemptResult::NotRun) {
            m_refusedBy.push_back(m_currentUpstream);
            return;
        }
        m_mayHaveRun = true;
        if (std::find(m_possiblyRunOn.begin(), m_possiblyRunOn.end(), m_currentUpstream) == m_possiblyRunOn.end()) {
            m_possiblyRunOn.push_back(m_currentUpstream);
        }
    }

    /** Whether a refusal may promise that the request has not run and will not. */
    [[nodiscard]] bool hasCertainlyNotRun() const
    {
        return !m_isAttemptOpen && !m_mayHaveRun;
    }
    [[nodiscard]] bool mayHaveRun() const
    {
        return m_mayHaveRun || m_isAttemptOpen;
    }
    [[nodiscard]] int count() const
    {
        return m_count;
    }
    /** Upstreams on which it may have run; with the present one, while an attempt is open. */
    [[nodiscard]] std::vector<placement::UpstreamKey> possiblyRunOn() const
    {
        std::vector<placement::UpstreamKey> all = m_possiblyRunOn;
        if (m_isAttemptOpen && std::find(all.begin(), all.end(), m_currentUpstream) == all.end()) {
            all.push_back(m_currentUpstream);
        }
        return all;
    }
    /** Upstreams that did not run it. */
    [[nodiscard]] const std::vector<placement::UpstreamKey> &refusedBy() const
    {
        return m_refusedBy;
    }

private:
    int m_count = 0;
    bool m_isAttemptOpen = false;
    bool m_mayHaveRun = false;
    placement::UpstreamKey m_currentUpstream = 0;
    std::vector<placement::UpstreamKey> m_possiblyRunOn;
    std::vector<placement::UpstreamKey> m_refusedBy;
};

} // namespace magnolia::gateway
