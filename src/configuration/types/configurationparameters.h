// Time limits and counts of the distribution of the published configuration.
#pragma once

#include "framework/global/types/time.h"

#include <cstddef>
#include <cstdint>

namespace magnolia::configuration
{

struct ConfigurationParameters
{
    /** Instances of a data centre that watch the service. Two, so that one can fail without delaying changes. */
    std::size_t watchersPerDataCentre = 2;
    /** Wait time of a watch call at one replica. A stale replica delays a change by up to this time. */
    Milliseconds watchWait{1'000};
    /** Minimum time between the starts of two calls of an instance, so that a burst of changes causes few calls. */
    Milliseconds minCallInterval{500};
    /** A call without an answer this long after its wait indicates that the service may be unreachable. */
    Milliseconds callOverdueAfter{500};
    /** A call without an answer this long after its wait is abandoned. */
    Milliseconds callTimeout{4'000};

    /** Delay of a watcher after a failed call; doubles with each further failure, up to `maxBackoff`. */
    Milliseconds initialBackoff{250};
    Milliseconds maxBackoff{2'000};
    /** Total call rate of all instances that are not watchers, while the service answers none of them. */
    std::uint32_t nonWatcherCallsPerSecond = 100;

    /** An instance that has no report of an active watcher for this long calls the service itself. */
    Milliseconds watcherTimeout{6'000};
    /** An instance that receives no message from any peer for this long considers itself isolated and calls it too. */
    Milliseconds isolationTimeout{2'000};
    /** Upper bound of the random delay before an instance that is not a watcher starts to call the service. */
    Milliseconds fallbackJitter{1'000};

    /** Mean time between two exchanges with a randomly chosen peer. */
    Milliseconds exchangeInterval{1'000};
    /** Fraction of exchanges that go to another data centre. */
    double remoteExchangeShare = 0.25;
    /** Instances of each other data centre to which an instance announces a revision that it got from the service. */
    std::size_t remoteAnnouncementFanout = 2;
    /** Number of times that the loss of the service is announced, since a datagram may be lost, and their interval. */
    std::uint32_t lossAnnouncements = 3;
    Milliseconds lossAnnouncementInterval{300};
    /** Peers of the own data centre to which an instance announces a revision that it got from a peer there. */
    std::size_t localAnnouncementFanout = 2;

    /** A fetch from a peer without an answer after this time is retried at another peer. */
    Milliseconds fetchTimeout{1'500};
    Milliseconds minFetchInterval{200};
    /** Time during which a peer is not asked again after a failed fetch. */
    Milliseconds failedFetchCooldown{1'000};
    /** Number of earlier snapshots kept, so that peers can be answered with a delta. */
    std::size_t historyLength = 4;

    /** Time between two rounds of queries of the catch-up at start and after a pause. */
    Milliseconds catchUpQueryInterval{300};
    /** Instances of each other data centre that a catch-up queries. In its own data centre it queries all. */
    std::size_t catchUpRemotePeers = 3;
    /** The catch-up ends after this time if at least one peer has answered. */
    Milliseconds partialCatchUpTimeout{2'000};
    /** The catch-up ends after this time in any case, so that an isolated instance can serve. */
    Milliseconds catchUpTimeout{5'000};
    /** An instance without activity for this long was paused; it confirms its configuration before serving again. */
    Milliseconds pauseThreshold{2'000};

    // Tests disable these mechanisms one at a time to show that each is needed.
    bool rejectsLowerRevisions = true;
    bool remembersRejections = true;
    bool runsCatchUp = true;
    bool detectsPauses = true;
    bool allowsFallbackWatchers = true;
    bool rotatesReplicas = true;
    bool sendsAnnouncements = true;
    bool runsExchanges = true;
};

} // namespace magnolia::configuration
