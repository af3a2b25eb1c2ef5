// Table of the peers that are alive and of those that accept callers. It does no I/O: messages and time are passed in.
//
// No list of instances is published. Addresses come from a few seeds, which may be stale, and from peers. Each instance
// sends heartbeats to all others, at an interval that grows with their number.
#pragma once

#include "fleet/types/capability.h"
#include "fleet/types/extensionmessage.h"
#include "fleet/types/ownreach.h"
#include "fleet/types/peermessage.h"
#include "fleet/types/probemessage.h"
#include "framework/global/types/time.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnolia::fleet
{

struct PeerTableParameters
{
    /** Lower bound of the time between two full-state messages to one peer. */
    Milliseconds minHeartbeatInterval{500};
    /** The interval is also at least this long per known peer, which bounds the messages received per second. */
    Milliseconds heartbeatIntervalPerPeer{20};
    /** Heartbeat intervals without a message after which a peer is silent; single lost datagrams are tolerated. */
    double silentAfterIntervals = 3.2;
    /**
     * Time without a message after which a peer is no longer named to callers, however long the heartbeat interval is.
     * A peer that was lost with nearly all others may not be suspected before.
     */
    Milliseconds maxNamedSilence{6000};
    /** Time without a message after which nothing is sent to a peer any more. */
    Milliseconds forgetAfter{60'000};
    /** Upper bound of the peers, and of the addresses reported by peers, that one instance keeps. */
    std::size_t maxPeers = 1024;
};

struct Peer
{
    std::string instance;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    PeerAddress address;
    std::string callerAddress;
    std::string relayAddress;
    bool isReady = false;
    bool isLeaving = false;
    bool isPartitioned = false;
    std::uint64_t configurationVersion = 0;
    published::StorePosition storePosition;
    MonoTime lastHeardAt{};
    /** Whether the peer has acknowledged no ping since it was last heard. */
    bool isSuspected = false;
    /** Set of Capability bits; empty until this run of the peer has sent an extension message. */
    std::uint64_t capabilities = 0;
    /** Sequence number of the last extension message of this run; 0 if there is none. */
    std::uint64_t extensionSequence = 0;

    [[nodiscard]] bool hasCapability(Capability capability) const;
};

class PeerTable
{
public:
    PeerTable(
        std::string self, PeerAddress ownAddress, std::vector<PeerAddress> seeds, PeerTableParameters parameters = {});

    enum class UpdateResult {
        /** The message is from an earlier run, a repeat, from this instance itself, or does not fit into the table. */
        Ignored,
        Updated,
        /** First message of this run of the peer: everything known of an earlier run is invalid. */
        NewIncarnation,
    };

    /** Records the state of the peer that sent the message. */
    UpdateResult update(const PeerMessage &message, MonoTime now);

    /** Records a ping or an ack of this run of a peer, and what it has of the published state. */
    void recordProbe(const ProbeMessage &message, MonoTime now);
    /**
     * Records the capabilities of a peer. Returns whether the records of the message are to be used: false for a run
     * that is not known and for messages that a later one has overtaken. The message does not count as a sign of life,
     * so that builds with and without extension messages agree on which peers are silent.
     */
    bool recordExtension(const ExtensionMessage &message);
    /** Marks this run of a peer as silent unless it was heard after `failedAt`; returns whether that is new. */
    bool suspect(const std::string &instance, std::uint64_t incarnation, MonoTime failedAt);

    /** Removes peers and addresses without news for `forgetAfter`, so that replaced peers do not fill the table. */
    void prune(MonoTime now);

    /** Returns the addresses to send to: known peers, addresses reported by peers, and seeds. */
    [[nodiscard]] std::vector<PeerAddress> targets(MonoTime now) const;
    /** Returns the time between two full-state messages. */
    [[nodiscard]] Milliseconds heartbeatInterval() const;
    [[nodiscard]] bool isSilent(const Peer &peer, MonoTime now) const;
    /**
     * Returns the caller addresses of the peers that accept callers. A silent peer may have been lost, and is returned
     * only if this instance has lost contact with everything (see hasLostContact()). Partitioned peers are returned
     * only if no other peer is live, and this instance is partitioned as well or is not named. If `isAllowed` is set,
     * only peers for which it returns true are considered for the answer.
     */
    [[nodiscard]] std::vector<std::string> callerAddresses(
        MonoTime now, OwnReach reach, const std::function<bool(const Peer &peer)> &isAllowed = {}) const;
    /** Whether a live peer accepts callers and is not partitioned; only peers that `isAllowed` accepts, if it is set.
     */
    [[nodiscard]] bool hasSoundPeer(MonoTime now, const std::function<bool(const Peer &peer)> &isAllowed = {}) const;
    /**
     * Whether this instance hears no peer and reaches neither the store nor upstreams. Only then is its own network
     * more likely to be lost than all of its peers, and callers lose nothing by trying silent peers.
     */
    [[nodiscard]] bool hasLostContact(MonoTime now, OwnReach reach) const;
    [[nodiscard]] const std::map<std::string, Peer> &peers() const;
    /** Returns the peer whose name has this stable hash; null if none is known. */
    [[nodiscard]] const Peer *findByHash(std::uint64_t instanceHash) const;
    /** Whether all peers that are not silent have the capability; true if there are none. */
    [[nodiscard]] bool haveAllLivePeers(Capability capability, MonoTime now) const;
    /** Returns the number of peers that are not silent, plus one for this instance. */
    [[nodiscard]] std::size_t liveInstanceCount(MonoTime now) const;

private:
    /** Whether the peer accepts callers and was heard lately enough to be named to them. */
    [[nodiscard]] bool isNameable(const Peer &peer, MonoTime now) const;
    UpdateResult updateFromIncrement(const PeerMessage &message, MonoTime now);

    std::string m_self;
    PeerAddress m_ownAddress;
    std::vector<PeerAddress> m_seeds;
    PeerTableParameters m_parameters;
    std::map<std::string, Peer> m_peers;
    // Names of the peers by their stable hashes; may also hold names of peers that were removed.
    std::unordered_map<std::uint64_t, std::string> m_instanceByHash;
    // Addresses reported by peers, with the time of the last report.
    std::map<PeerAddress, MonoTime> m_reportedAddresses;
};

} // namespace magnolia::fleet
