// What one request's attempts so far allow: how often it may be sent on, and what a refusal may say.
#pragma once

#include "placement/types/placement.h"

#include <algorithm>
#include <vector>

namespace magnolia::gateway
{

/** What is known of the request's work after an attempt. */
enum class AttemptEnd {
    /** The upstream never saw it, or said that it did not run it. */
    NotRun,
    /** It may have run, or has run. */
    MayHaveRun,
};

class AttemptLedger
{
public:
    /** The request is about to leave for `upstream`. */
    void begin(placement::UpstreamKey upstream)
    {
        ++m_sends;
        m_isOpen = true;
        m_current = upstream;
    }

    void end(AttemptEnd end)
    {
        if (!m_isOpen) {
            return;
        }
        m_isOpen = false;
        if (end == AttemptEnd::NotRun) {
            m_refusedBy.push_back(m_current);
            return;
        }
        m_mayHaveRun = true;
        if (std::find(m_ranOn.begin(), m_ranOn.end(), m_current) == m_ranOn.end()) {
            m_ranOn.push_back(m_current);
        }
    }

    /** Whether a refusal may promise that the request has not run and will not. */
    [[nodiscard]] bool isSurelyNotRun() const
    {
        return !m_isOpen && !m_mayHaveRun;
    }
    [[nodiscard]] bool mayHaveRun() const
    {
        return m_mayHaveRun || m_isOpen;
    }
    [[nodiscard]] int sends() const
    {
        return m_sends;
    }
    /** Upstreams on which it may have run; with the present one, while an attempt is open. */
    [[nodiscard]] std::vector<placement::UpstreamKey> ranOn() const
    {
        std::vector<placement::UpstreamKey> all = m_ranOn;
        if (m_isOpen && std::find(all.begin(), all.end(), m_current) == all.end()) {
            all.push_back(m_current);
        }
        return all;
    }
    /** Upstreams that did not run it. */
    [[nodiscard]] const std::vector<placement::UpstreamKey> &refusedBy() const
    {
        return m_refusedBy;
    }

private:
    int m_sends = 0;
    bool m_isOpen = false;
    bool m_mayHaveRun = false;
    placement::UpstreamKey m_current = 0;
    std::vector<placement::UpstreamKey> m_ranOn;
    std::vector<placement::UpstreamKey> m_refusedBy;
};

} // namespace magnolia::gateway
