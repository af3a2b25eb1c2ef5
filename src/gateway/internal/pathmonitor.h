// Tells failures of upstreams from failures of this instance's path to them.
//
// An upstream is at fault if it cannot be reached while another one can. Evidence against upstreams and requests is
// passed on only after this has been found out, because an instance that is cut from all upstreams sees every one of
// them fail.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "gateway/internal/reachabilityprobe.h"
#include "outliers/types/attemptoutcome.h"
#include "placement/types/placement.h"
#include "reachability/partitiondetector.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace magnolia::gateway
{

struct GatewayContext;

enum class PathFinding {
    /** The upstream cannot be reached and another one can. */
    UpstreamFailed,
    UpstreamReached,
    /** No other upstream can be reached either. */
    PathFailed,
};

class PathMonitor
{
public:
    explicit PathMonitor(GatewayContext &context);

    /** Sets a function that is called, outside of any other callback, when a partition has begun or ended. */
    void setPartitionListener(std::function<void()> listener);

    /** Call it when a new connection to an upstream was established. */
    void onConnected(placement::UpstreamKey upstream);
    /** Call it when a connection to an upstream that was begun at `startedAt` was not established. */
    void onConnectFailed(placement::UpstreamKey upstream, MonoTime startedAt);

    /**
     * Records that an attempt that was sent at `sentAt` failed because of its connection. The failure counts here at
     * once and is told to peers when it is confirmed; it is forgotten if the path has failed.
     */
    void reportFailure(placement::UpstreamKey upstream, outliers::AttemptOutcome outcome, MonoTime sentAt);

    /** Probes an upstream and calls `done` once. */
    void probe(placement::UpstreamKey upstream, std::function<void(Reachability)> done);
    /** Calls `done` once, with whether an upstream other than `except` was reached after the call. */
    void confirmPath(placement::UpstreamKey except, std::function<void(bool isSound)> done);
    /** Finds out why an upstream failed and calls `done` once. */
    void investigate(placement::UpstreamKey upstream, std::function<void(PathFinding, Reachability)> done);

    [[nodiscard]] const reachability::PartitionDetector &detector() const;
    /** Whether it is being found out whether the path is sound. */
    [[nodiscard]] bool isInvestigating() const;

private:
    struct Waiter
    {
        placement::UpstreamKey except = 0;
        std::function<void(bool isSound)> done;
    };

    /** Passes the known upstreams on to the detector if they have changed. */
    void updateUpstreams();
    [[nodiscard]] std::vector<placement::UpstreamKey> probeTargets(std::size_t count, placement::UpstreamKey except);
    void apply(reachability::PartitionDetector::Change change);
    void beginPartition();
    void probeWhilePartitioned();
    /** Probes some upstreams until no confirmation is waited for. */
    void startRound(std::size_t round);
    void finishRound(std::size_t round);
    /** Answers all that wait for a confirmation. */
    void answerWaiters(bool isSound);
    void concludeFailure(
        PathFinding finding, placement::UpstreamKey upstream, outliers::AttemptOutcome outcome, MonoTime sentAt);

    GatewayContext &m_context;
    reachability::PartitionDetector m_detector;
    std::optional<std::uint64_t> m_upstreamsGeneration;
    MonoTime m_partitionBeganAt{};
    // Upstreams that are left out here by failures that are not confirmed yet.
    std::set<placement::UpstreamKey> m_unconfirmed;
    std::function<void()> m_partitionListener;
    std::vector<Waiter> m_waiters;
    // Probes of the current round without a result. Invariant: above 0 only while `m_isRoundActive`.
    std::size_t m_openProbes = 0;
    bool m_isRoundActive = false;
    // Expires with the monitor, so that pending callbacks do nothing after it.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace magnolia::gateway
