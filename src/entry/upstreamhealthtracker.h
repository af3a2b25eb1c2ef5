// The one writer of the blackboard's health section: outcomes of attempts and upstreams' own words go in.
#pragma once

#include "blackboard/blackboard.h"
#include "entry/types/attemptend.h"
#include "framework/global/types/time.h"

#include <functional>
#include <mutex>

namespace magnolia::entry
{

/** Safe from any thread. */
class UpstreamHealthTracker
{
public:
    /** Told when this instance itself sees an upstream leaving, or back, so that peers hear of it. */
    using LeavingHandler = std::function<void(const UpstreamId &upstream, bool isLeaving)>;

    explicit UpstreamHealthTracker(Blackboard &blackboard);

    /** To be set before the first request. */
    void setLeavingHandler(LeavingHandler handler);

    void recordAttempt(const UpstreamId &upstream, AttemptEnd end, MonoTime now);
    /** What the upstream says of itself in its load report. */
    void recordReportedLeaving(const UpstreamId &upstream, bool isLeaving);
    /** Forgets upstreams that the published list no longer has: one that comes back begins anew. */
    void removeUnlisted();

private:
    void update(const UpstreamId &upstream, const std::function<UpstreamHealth(UpstreamHealth)> &rule);

    Blackboard &m_blackboard;
    LeavingHandler m_leavingHandler;
    std::mutex m_mutex;
};

} // namespace magnolia::entry
