// Times and counts of the distribution of the published configuration.
#pragma once

#include "framework/global/types/time.h"

#include <cstddef>
#include <cstdint>

namespace magnolia::configuration
{

struct ConfigurationParameters
{
    /** Instances of a data centre that hold a watch on the service; two, so that one may fail unnoticed. */
    std::size_t watchersPerDataCentre = 2;
    /** How long a watch waits at one replica. A replica that is stale delays a change by as much. */
    Milliseconds watchWait{1'000};
    /** Between the starts of two calls of one instance, so that a burst of changes becomes few calls. */
    Milliseconds minCallInterval{500};
    /** A call that was not answered this long after its wait shows that the service may be out of reach. */
    Milliseconds callOverdueAfter{500};
    /** A call that was not answered this long after its wait is given up. */
    Milliseconds callTimeout{4'000};

    /** A watcher's delay after a failed call; doubles up to `backoffCap`. */
    Milliseconds initialBackoff{250};
    Milliseconds maxBackoff{2'000};
    /** Calls a second of all instances that are no watchers, while the service answers none of them. */
    std::uint32_t nonWatcherCallsPerSecond = 100;

    /** Without word of a watcher for this long, an instance calls the service itself. */
    Milliseconds watcherTimeout{6'000};
    /** Without any message of a peer for this long, an instance counts itself as cut off and does so too. */
    Milliseconds isolationTimeout{2'000};
    /** Spread of the moments at which instances begin to call by themselves. */
    Milliseconds fallbackJitter{1'000};

    /** Between two exchanges of an instance with a peer chosen at random. */
    Milliseconds exchangeInterval{1'000};
    /** Share of exchanges with another data centre. */
    double remoteExchangeShare = 0.25;
    /** Instances of each other data centre that a watcher tells of a new revision. */
    std::size_t remoteAnnouncementFanout = 2;
    /** Times that the loss of the service is told, and the time between them: a datagram may be lost. */
    std::uint32_t lossAnnouncements = 3;
    Milliseconds lossAnnouncementInterval{300};
    /** Peers of its own data centre to which an instance passes on a revision that it had from there. */
    std::size_t localAnnouncementFanout = 2;

    /** A fetch from a peer that was not answered for this long is tried at another one. */
    Milliseconds fetchTimeout{1'500};
    Milliseconds minFetchInterval{200};
    /** How long a peer that failed a fetch is not asked again. */
    Milliseconds failedFetchCooldown{1'000};
    /** Earlier snapshots kept to answer peers with differences only. */
    std::size_t historyLength = 4;

    /** Roll call at start and after a pause: time between two rounds of questions. */
    Milliseconds catchUpQueryInterval{300};
    /** Instances of each other data centre that a roll call asks; of its own it asks all. */
    std::size_t catchUpRemotePeers = 3;
    /** Ends the roll call where at least one peer has answered. */
    Milliseconds partialCatchUpTimeout{2'000};
    /** Ends the roll call in any case, so that an instance that is cut off can serve. */
    Milliseconds catchUpTimeout{5'000};
    /** An instance that did nothing for this long was paused, and confirms its configuration before it serves on. */
    Milliseconds pauseThreshold{2'000};

    // Mechanisms. Tests switch them off, one at a time, to show that each is needed.
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
