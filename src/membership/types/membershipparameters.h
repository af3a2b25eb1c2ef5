// Intervals, timeouts and limits of the membership protocol.
#pragma once

#include "framework/global/types/time.h"

#include <cstddef>
#include <cstdint>

namespace magnolia::membership
{

struct MembershipParameters
{
    /** One member is probed per interval, regardless of the number of members. */
    Milliseconds probeInterval{1000};
    /** If no ack arrives within this time, other members are asked to probe. */
    Milliseconds directProbeTimeout{250};
    /**
     * If no ack arrives within this time, the member is suspected.
     * Invariant: longer than directProbeTimeout, and than the longest pause of a member that must be tolerated.
     */
    Milliseconds probeTimeout{700};
    /** Time for a suspected member to refute the suspicion before it is declared dead. */
    Milliseconds suspicionTimeout{1000};
    /** Added to suspicionTimeout by members that know the suspicion only from gossip and do not reprobe the member. */
    Milliseconds gossipedSuspicionGrace{800};
    /** Interval at which each of the selected members probes a suspected member again. */
    Milliseconds reprobeInterval{200};
    /** Mean number of members that reprobe a suspected member, not counting those whose own probe failed. */
    std::uint32_t expectedReprobers = 5;
    /** Number of members asked for an indirect probe. */
    std::uint32_t indirectProbeCount = 3;

    /** Minimum time between two rounds of gossip. */
    Milliseconds gossipInterval{100};
    std::uint32_t gossipFanout = 3;
    /** An update is sent lambda * ceil(log2(members + 1)) times by each member. */
    std::uint32_t retransmitLambda = 2;
    /** Size and refill rate of the token bucket that limits gossip messages. */
    double gossipBurst = 40;
    double gossipPerSecond = 3;
    /** Separate token bucket for reprobes, so that gossip and reprobes cannot starve each other. */
    double reprobeBurst = 10;
    double reprobesPerSecond = 2;
    /** Maximum bytes of updates in one message, and of records in one sync reply. */
    std::size_t maxUpdateBytes = 420;
    std::size_t maxSyncBytes = 1000;

    /** One listed member that is considered dead is probed per interval. */
    Milliseconds deadProbeInterval{1000};
    /** While no other member is known to be alive, joinProbeCount listed members are probed per interval. */
    Milliseconds joinInterval{300};
    std::uint32_t joinProbeCount = 3;
    /** A dead member that is not listed is removed after this time. */
    Milliseconds deadMemberRetention{60000};

    /** Member digests must differ for this long before a sync is started. */
    Milliseconds syncDelay{2000};
    /** A sync is aborted if a reply takes longer than this. */
    Milliseconds syncTimeout{500};
    Milliseconds minSyncInterval{5000};
    /** Long-term average of the bytes per second used by syncs; the sync interval grows with the number of members. */
    double syncBytesPerSecond = 300;

    /** A longer time between two ticks means that this process was paused. Invariant: several tick intervals. */
    Milliseconds pauseThreshold{300};

    /**
     * Lifetime of an upstream report: longer than an upstream takes to leave, and than the published list lags behind.
     * An instance that still sees the upstream leaving may renew the report after the refresh interval.
     */
    Milliseconds upstreamReportLifetime{600000};
    /** A report with a timestamp further ahead of this instance's clock is ignored. */
    Milliseconds maxClockSkew{15000};
    Milliseconds upstreamReportRefreshInterval{20000};
    /** A report that an upstream is back must be this much newer than a leaving report, because clocks differ. */
    Milliseconds upstreamReturnMargin{5000};

    std::size_t maxMembers = 2048;
    std::size_t maxSharedValues = 8;
    std::size_t maxSharedValueBytes = 128;
    std::size_t maxUpstreamReports = 4096;
    std::size_t maxIdBytes = 64;
    std::size_t maxRelayedProbes = 64;
};

} // namespace magnolia::membership
