// Which peers are alive, and which of them take callers: a pure state fed with messages and time.
//
// The list of instances is not published; addresses are learnt from a few seeds, which may be stale, and from peers.
// Each instance tells every other that it lives, at a pace that falls with their number.
#pragma once

#include "fleet/types/peermessage.h"
#include "framework/global/types/time.h"

#include <map>
#include <string>
#include <vector>

namespace magnolia::fleet
{

struct PeerTableParameters
{
    /** Time between two whole messages to one peer, for few peers. */
    Milliseconds minInterval{500};
    /** Added for each peer, so that what an instance receives in a second is bounded. */
    Milliseconds intervalPerPeer{20};
    /** A peer is silent after so many intervals; datagrams are lost now and then. */
    double silentAfter = 3.2;
    /** A peer that was not heard for so long is no longer written to. */
    Milliseconds forgetAfter{60'000};
    /** The peers that one instance keeps. */
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
    bool isReady = false;
    bool isLeaving = false;
    std::uint64_t configurationVersion = 0;
    std::uint64_t storeRevision = 0;
    MonoTime lastHeardAt{};
};

class PeerTable
{
public:
    PeerTable(
        std::string self, PeerAddress ownAddress, std::vector<PeerAddress> seeds, PeerTableParameters parameters = {});

    enum class UpdateResult {
        /** Of an earlier start, a repeat, or from itself. */
        Ignored,
        Updated,
        /** First message of this start of the peer: what was known of an earlier one is void. */
        NewIncarnation,
    };

    UpdateResult update(const PeerMessage &message, MonoTime now);

    /** Forgets peers and addresses that were not heard of for long, so that the table does not grow with replaced ones.
     */
    void prune(MonoTime now);

    /** Everyone to write to: known peers, addresses that peers told of, and seeds. */
    [[nodiscard]] std::vector<PeerAddress> targets(MonoTime now) const;
    /** Time between two whole messages. */
    [[nodiscard]] Milliseconds interval() const;
    [[nodiscard]] bool isSilent(const Peer &peer, MonoTime now) const;
    /**
     * Caller addresses of the peers that take callers. Where most peers fell silent together the fault is more likely
     * on this side, and those heard last are given as well.
     */
    [[nodiscard]] std::vector<std::string> callerAddresses(MonoTime now) const;
    [[nodiscard]] const std::map<std::string, Peer> &peers() const;
    /** Peers heard lately, this instance included. */
    [[nodiscard]] std::size_t liveInstanceCount(MonoTime now) const;

private:
    UpdateResult updateFromIncrement(const PeerMessage &message, MonoTime now);

    std::string m_self;
    PeerAddress m_ownAddress;
    std::vector<PeerAddress> m_seeds;
    PeerTableParameters m_parameters;
    std::map<std::string, Peer> m_peers;
    // Addresses that peers told of; when each was told last.
    std::map<PeerAddress, MonoTime> m_told;
};

} // namespace magnolia::fleet
