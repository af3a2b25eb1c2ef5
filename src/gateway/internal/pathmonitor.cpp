// Probes upstreams to find out whether the path to them is sound.
#include "gateway/internal/pathmonitor.h"

#include "framework/logging/log.h"
#include "gateway/internal/coldupstreams.h"
#include "gateway/internal/gatewaycontext.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace magnolia::gateway
{

namespace
{

/** Probes of each round. A new connection may hold a slot of its upstream, and the first one mostly reaches it. */
constexpr std::array<std::size_t, 3> probesPerRound{1, 4, 4};
/** Several round trips between any two data centres. */
constexpr Milliseconds maxRoundTripTime{50};
/** During a partition, connections may be accepted and closed by a host that is busy. A partition that seems to end too
 * early costs requests, one that ends later costs a relay. */
constexpr Milliseconds settleTimeWhilePartitioned{150};

} // namespace

PathMonitor::PathMonitor(GatewayContext &context)
    : m_context(context)
{
}

void PathMonitor::setPartitionListener(std::function<void()> listener)
{
    m_partitionListener = std::move(listener);
}

const reachability::PartitionDetector &PathMonitor::detector() const
{
    return m_detector;
}

bool PathMonitor::isInvestigating() const
{
    return m_isRoundActive;
}

void PathMonitor::updateUpstreams()
{
    if (m_upstreamsGeneration == m_context.upstreams.generation()) {
        return;
    }
    m_upstreamsGeneration = m_context.upstreams.generation();
    std::vector<reachability::UpstreamRef> upstreams;
    for (const auto &[key, it] : m_context.upstreams.all()) {
        if (!it.entry.isLeaving) {
            upstreams.push_back({key, it.entry.service});
        }
    }
    m_detector.setUpstreams(std::move(upstreams));
}

std::vector<placement::UpstreamKey> PathMonitor::probeTargets(std::size_t count, placement::UpstreamKey except)
{
    updateUpstreams();
    return m_detector.probeTargets(count, except, m_context.loop.now(), m_context.random);
}

void PathMonitor::onConnected(placement::UpstreamKey upstream)
{
    apply(m_detector.recordSuccess(m_context.loop.now()));
    m_context.cold->onReached(upstream);
    std::vector<Waiter> confirmed;
    std::erase_if(m_waiters, [&](Waiter &it) {
        if (it.except == upstream) {
            return false;
        }
        confirmed.push_back(std::move(it));
        return true;
    });
    for (const Waiter &it : confirmed) {
        it.done(true);
    }
}

void PathMonitor::onConnectFailed(placement::UpstreamKey upstream, MonoTime startedAt)
{
    updateUpstreams();
    apply(m_detector.recordFailure(upstream, startedAt, m_context.loop.now()));
}

void PathMonitor::apply(reachability::PartitionDetector::Change change)
{
    using Change = reachability::PartitionDetector::Change;
    if (change == Change::None) {
        return;
    }
    m_context.loop.defer([this, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.lock() && m_partitionListener) {
            m_partitionListener();
        }
    });
    if (change == Change::Began) {
        beginPartition();
    } else {
        logging::write(logging::Level::Warning, "gateway", "upstreams_reached",
            {{"after_ms", std::int64_t{toMilliseconds(m_context.loop.now() - m_partitionBeganAt).count()}}});
    }
}

void PathMonitor::beginPartition()
{
    m_partitionBeganAt = m_context.loop.now();
    std::vector<std::string> failed;
    for (const placement::UpstreamKey it : m_detector.failedUpstreams()) {
        failed.push_back(m_context.upstreams.idOf(it));
    }
    logging::write(logging::Level::Warning, "gateway", "upstreams_unreachable", {{"failed", failed}});
    for (const placement::UpstreamKey it : std::exchange(m_unconfirmed, {})) {
        m_context.outliers.forget(it);
    }
    answerWaiters(false);
    probeWhilePartitioned();
}

void PathMonitor::reportFailure(placement::UpstreamKey upstream, outliers::AttemptOutcome outcome, MonoTime sentAt)
{
    const bool isUnreachable = outcome == outliers::AttemptOutcome::Unreachable;
    if (isUnreachable) {
        onConnectFailed(upstream, sentAt);
    }
    // During a partition a failure tells nothing about its upstream.
    if (m_detector.wasPartitionedSince(sentAt)) {
        return;
    }
    recordAttemptOutcome(m_context, upstream, outcome);
    m_unconfirmed.insert(upstream);
    if (isUnreachable && m_detector.lastSuccessAt() >= sentAt + maxRoundTripTime) {
        // The path was sound while the upstream did not answer.
        concludeFailure(PathFinding::UpstreamFailed, upstream, outcome, sentAt);
        return;
    }
    if (isUnreachable) {
        investigate(upstream, [this, upstream, outcome, sentAt](PathFinding finding, Reachability) {
            concludeFailure(finding, upstream, outcome, sentAt);
        });
        return;
    }
    confirmPath(upstream, [this, upstream, outcome, sentAt](bool isSound) {
        concludeFailure(isSound ? PathFinding::UpstreamFailed : PathFinding::PathFailed, upstream, outcome, sentAt);
    });
}

void PathMonitor::concludeFailure(
    PathFinding finding, placement::UpstreamKey upstream, outliers::AttemptOutcome outcome, MonoTime sentAt)
{
    const bool isUnconfirmed = m_unconfirmed.erase(upstream) > 0;
    if (finding == PathFinding::PathFailed) {
        if (isUnconfirmed) {
            m_context.outliers.forget(upstream);
        }
        return;
    }
    if (finding == PathFinding::UpstreamFailed && !m_detector.wasPartitionedSince(sentAt)) {
        if (outcome == outliers::AttemptOutcome::Unreachable) {
            m_context.cold->onUnreachable(upstream);
        }
        m_context.fleet->announceEvidence(upstream, static_cast<std::uint8_t>(outcome));
    }
}

void PathMonitor::probeWhilePartitioned()
{
    m_context.loop.after(m_detector.probeInterval(), [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.lock() || !m_detector.isPartitioned()) {
            return;
        }
        for (const placement::UpstreamKey it : probeTargets(1, 0)) {
            probe(it, [this, it](Reachability reachability) {
                // A second connection tells the end of the partition from a link that comes and goes.
                if (reachability == Reachability::Reached && m_detector.isPartitioned()) {
                    probe(it, [](Reachability) {});
                }
            });
        }
        probeWhilePartitioned();
    });
}

void PathMonitor::probe(placement::UpstreamKey upstream, std::function<void(Reachability)> done)
{
    const KnownUpstream *known = m_context.upstreams.find(upstream);
    if (known == nullptr) {
        done(Reachability::NoAnswer);
        return;
    }
    ReachabilityProbe::run(
        m_context.loop, known->entry.address,
        [this, alive = std::weak_ptr<bool>(m_alive), upstream, startedAt = m_context.loop.now(),
            done = std::move(done)](Reachability reachability) {
            if (!alive.lock()) {
                return;
            }
            if (reachability == Reachability::Reached) {
                onConnected(upstream);
            } else {
                onConnectFailed(upstream, startedAt);
            }
            done(reachability);
        },
        m_detector.isPartitioned() ? settleTimeWhilePartitioned : ReachabilityProbe::defaultSettleTime);
}

void PathMonitor::confirmPath(placement::UpstreamKey except, std::function<void(bool isSound)> done)
{
    if (m_detector.isPartitioned()) {
        done(false);
        return;
    }
    if (probeTargets(1, except).empty()) {
        // There is no other upstream to compare with.
        done(true);
        return;
    }
    m_waiters.push_back({except, std::move(done)});
    if (!m_isRoundActive) {
        startRound(0);
    }
}

void PathMonitor::startRound(std::size_t round)
{
    m_isRoundActive = true;
    const auto targets = probeTargets(probesPerRound[round], m_waiters.front().except);
    // The extra count keeps the round open until all probes have been started.
    m_openProbes = targets.size() + 1;
    const auto countDown = [this, round] {
        if (--m_openProbes == 0) {
            finishRound(round);
        }
    };
    for (const placement::UpstreamKey it : targets) {
        probe(it, [countDown](Reachability) {
            countDown();
        });
    }
    countDown();
}

void PathMonitor::finishRound(std::size_t round)
{
    if (!m_waiters.empty() && round + 1 < probesPerRound.size()) {
        startRound(round + 1);
        return;
    }
    m_isRoundActive = false;
    answerWaiters(false);
}

void PathMonitor::answerWaiters(bool isSound)
{
    for (const Waiter &it : std::exchange(m_waiters, {})) {
        it.done(isSound);
    }
}

void PathMonitor::investigate(placement::UpstreamKey upstream, std::function<void(PathFinding, Reachability)> done)
{
    confirmPath(upstream, [this, upstream, done = std::move(done)](bool isSound) {
        if (!isSound) {
            done(PathFinding::PathFailed, Reachability::NoAnswer);
            return;
        }
        probe(upstream, [this, upstream, done](Reachability reachability) {
            if (reachability == Reachability::Reached || reachability == Reachability::Closed) {
                done(PathFinding::UpstreamReached, reachability);
                return;
            }
            if (reachability == Reachability::Refused) {
                done(PathFinding::UpstreamFailed, reachability);
                return;
            }
            // The path may have failed during the time for which the probe waited.
            confirmPath(upstream, [done, reachability](bool isStillSound) {
                done(isStillSound ? PathFinding::UpstreamFailed : PathFinding::PathFailed, reachability);
            });
        });
    });
}

} // namespace magnolia::gateway
