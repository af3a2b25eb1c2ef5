// Finds dead peers by probes, as in SWIM (Das, Gupta, Motivala: "SWIM: scalable weakly-consistent infection-style
// process group membership protocol", DSN 2002). It does no I/O: messages, time and random numbers are passed in.
//
// The heartbeats of hundreds of instances are seconds apart, so silence alone would leave dead instances in directory
// answers for many seconds. Each instance pings one random peer at a time. A peer that acknowledges neither of two
// pings is suspected, and the suspicion spreads with the probes of all instances. The cost of an instance does not
// depend on the size of the fleet.
#pragma once

#include "fleet/peertable.h"
#include "fleet/types/probemessage.h"
#include "framework/global/random.h"
#include "framework/global/types/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::fleet
{

struct FailureDetectorParameters
{
    /** Time between two calls of tick(), each of which pings a peer. */
    Milliseconds probeInterval{250};
    /** Upper bound of the pings at a time, after others were not acknowledged. */
    std::size_t maxPingsPerTick = 5;
    /** Time for an ack: a round trip of a few milliseconds and the pauses of an instance with an eighth of a core.
     */
    Milliseconds ackTimeout{240};
    /** Pings without an ack after which a peer is suspected; single lost datagrams are tolerated. */
    int maxTries = 2;
    /** Time for which a suspicion is passed on, several times the time in which it reaches all instances. */
    Milliseconds spreadTime{3000};
    /** Upper bound of the suspicions in one message. */
    std::size_t maxSuspicionsPerMessage = 64;
    /** With more peers than this failing one after the other, this instance is considered cut off itself. */
    std::size_t maxFailuresInSequence = 12;
};

class FailureDetector
{
public:
    FailureDetector(
        std::string self, std::uint64_t incarnation, PeerAddress ownAddress, FailureDetectorParameters parameters = {});

    struct Outgoing
    {
        PeerAddress address;
        ProbeMessage message;
    };

    /** Returns the pings to send now; to be called once per `probeInterval`. */
    [[nodiscard]] std::vector<Outgoing> tick(const PeerTable &table, MonoTime now, Random &random);
    /** Records a ping or an ack in `table`; returns the ack of a ping. */
    [[nodiscard]] std::optional<Outgoing> onMessage(
        const ProbeMessage &message, PeerTable &table, MonoTime now, Random &random);
    /** Sets the version of the published state that the messages of this instance state. */
    void setPublishedState(
        std::uint64_t configurationVersion, const published::StorePosition &storePosition, MonoTime storeConfirmedAt);
    /** Returns a message that is not acknowledged, for peers that should learn of a new published state at once. */
    [[nodiscard]] ProbeMessage makeAnnouncement(MonoTime now, Random &random) const;
    /** Whether a peer has spread a suspicion against this instance since the last call. */
    [[nodiscard]] bool takeIsSuspected();
    [[nodiscard]] Milliseconds probeInterval() const;

private:
    struct PendingPing
    {
        std::string instance;
        std::uint64_t incarnation = 0;
        PeerAddress address;
        MonoTime sentAt{};
        int tries = 0;
    };
    struct KnownFailure
    {
        std::string instance;
        std::uint64_t incarnation = 0;
        MonoTime failedAt{};
    };

    [[nodiscard]] ProbeMessage makeMessage(MonoTime now, Random &random) const;
    void suspect(const KnownFailure &failure, PeerTable &table);

    std::string m_self;
    std::uint64_t m_incarnation;
    PeerAddress m_ownAddress;
    FailureDetectorParameters m_parameters;
    std::vector<PendingPing> m_pendingPings;
    // Failures since the last ack of any peer. They become suspicions with the next ack, which shows that this
    // instance is not cut off itself.
    std::vector<KnownFailure> m_unconfirmed;
    // Suspicions that are passed on.
    std::vector<KnownFailure> m_suspicions;
    bool m_isSuspected = false;
    std::uint64_t m_configurationVersion = 0;
    published::StorePosition m_storePosition;
    MonoTime m_storeConfirmedAt{};
};

} // namespace magnolia::fleet
