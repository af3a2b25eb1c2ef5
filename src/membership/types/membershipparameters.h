// Times and limits of the membership protocol.
#pragma once

#include "framework/global/types/time.h"

#include <cstddef>
#include <cstdint>

namespace magnolia::membership
{

struct MembershipParameters
{
    /** One member is probed in each interval, whatever the number of members. */
    Milliseconds probeInterval{1000};
    /** Without an ack by then, others are asked to probe. */
    Milliseconds directProbeTimeout{250};
    /**
     * Without any ack by then, the member is suspected.
     * Invariant: above directTimeout, and above the longest pause of a member that must go unnoticed.
     */
    Milliseconds probeTimeout{700};
    /** How long a suspected member has to refute. */
    Milliseconds suspicionTimeout{1000};
    /** How much longer a suspected member has at those that do not probe it again and only hear of the suspicion. */
    Milliseconds gossipedSuspicionGrace{800};
    /** How often a member that is suspected is probed again by those chosen for it. */
    Milliseconds reprobeInterval{200};
    /** Expected number of members that probe a suspected one again, besides the one that suspected it. */
    std::uint32_t expectedReprobers = 5;
    /** Members asked for an indirect probe. */
    std::uint32_t indirectProbeCount = 3;

    /** Shortest time between two rounds of gossip. */
    Milliseconds gossipInterval{100};
    std::uint32_t gossipFanout = 3;
    /** An update is sent lambda * ceil(log2(members + 1)) times by each member. */
    std::uint32_t retransmitLambda = 2;
    /** Messages of gossip that may be sent at once, and per second in the long run. */
    double gossipBurst = 40;
    double gossipPerSecond = 3;
    /** Repeated probes of suspected members; apart from gossip, so that neither starves the other. */
    double reprobeBurst = 10;
    double reprobesPerSecond = 2;
    /** Bytes of updates in one message, and in one answer to a sync request. */
    std::size_t maxUpdateBytes = 420;
    std::size_t maxSyncBytes = 1000;

    /** One member that is held for dead and listed is probed in each interval. */
    Milliseconds deadProbeInterval{1000};
    /** While no other member is known to be alive, several listed ones are probed in each interval. */
    Milliseconds joinInterval{300};
    std::uint32_t joinProbeCount = 3;
    /** A dead member that is not listed is forgotten after this time. */
    Milliseconds deadMemberRetention{60000};

    /** Digests must differ for so long before the other member's records are asked for. */
    Milliseconds syncDelay{2000};
    /** Without an answer the sync is given up. */
    Milliseconds syncTimeout{500};
    Milliseconds minSyncInterval{5000};
    /** Bytes that syncs may take in the long run; the interval between syncs grows with the table. */
    double syncBytesPerSecond = 300;

    /** Ticks that are further apart mean that this process was paused. Invariant: several times the tick interval. */
    Milliseconds pauseThreshold{300};

    /**
     * A report on an upstream lasts so long: longer than an upstream takes to leave, and than the list lags. Whoever
     * still sees it leaving may renew it after the refresh interval.
     */
    Milliseconds upstreamReportLifetime{600000};
    /** A report that is dated further ahead of this instance's clock is ignored. */
    Milliseconds maxClockSkew{15000};
    Milliseconds upstreamReportRefreshInterval{20000};
    /** A report that an upstream is back must be so much later than the one that it is leaving: clocks differ. */
    Milliseconds upstreamReturnMargin{5000};

    std::size_t maxMembers = 2048;
    std::size_t maxSharedValues = 8;
    std::size_t maxSharedValueBytes = 128;
    std::size_t maxUpstreamReports = 4096;
    std::size_t maxIdBytes = 64;
    std::size_t maxRelayedProbes = 64;
};

} // namespace magnolia::membership
