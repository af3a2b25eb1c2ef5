// Sole writer of the blackboard's health section, from the results of attempts and the upstreams' load reports.
#pragma once

#include "blackboard/blackboard.h"
#include "entry/types/attemptend.h"
#include "framework/global/types/time.h"

#include <functional>
#include <mutex>

namespace magnolia::entry
{

/** Thread-safe. */
class UpstreamHealthTracker
{
public:
    /** Called when this instance observes that an upstream is leaving or is back, so that peers can be told. */
    using LeavingHandler = std::function<void(const UpstreamId &upstream, bool isLeaving)>;

    explicit UpstreamHealthTracker(Blackboard &blackboard);

    /** Must be called before the first request. */
    void setLeavingHandler(LeavingHandler handler);

    void recordAttempt(const UpstreamId &upstream, AttemptEnd end, MonoTime now);
    /** Records whether the upstream declares itself leaving in its load report. */
    void recordReportedLeaving(const UpstreamId &upstream, bool isLeaving);
    /** Removes upstreams that are not in the published list; one that returns starts without a history. */
    void removeUnlisted();

private:
    void update(const UpstreamId &upstream, const std::function<UpstreamHealth(UpstreamHealth)> &rule);

    Blackboard &m_blackboard;
    LeavingHandler m_leavingHandler;
    std::mutex m_mutex;
};

} // namespace magnolia::entry
