// Carries the messages between instances: datagrams for current state, a connection for the whole published state.
#pragma once

#include "fleet/failuredetector.h"
#include "fleet/ifleetdelegate.h"
#include "fleet/internal/rejectionlog.h"
#include "fleet/peertable.h"
#include "fleet/types/peermessage.h"
#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/ireadinesshandler.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace magnolia::fleet
{

struct FleetLinkSettings
{
    std::string instance;
    std::string dataCentre;
    PeerAddress address;
    std::vector<PeerAddress> seeds;
    std::string callerAddress;
    std::string relayAddress;
    std::uint64_t incarnation = 0;
    /** Set of Capability bits that this instance states. */
    std::uint64_t capabilities = 0;
    PeerTableParameters peerTable;
};

class FleetLink : public eventloop::IReadinessHandler, public std::enable_shared_from_this<FleetLink>
{
public:
    FleetLink(eventloop::EventLoop &loop, FleetLinkSettings settings, IFleetDelegate &delegate);

    /** Opens the ports and sends the first heartbeat. Error: ListenFailed (9004). */
    [[nodiscard]] Result<void> start();
    void stop();

    /** Sends a new placement to the live peers of the own cell at once. */
    void announcePlacement(const PlacementRecord &placement);
    /** Announces within `batchDelay` that the first event of a placement has arrived. */
    void announceDecoding(std::uint64_t id);
    /** Announces the end of a placement within `batchDelay`. */
    void announceEnd(const PlacementEnd &end);
    /** Announces within `batchDelay` evidence about an upstream that was confirmed after the end of its placement. */
    void announceEvidence(std::uint64_t upstream, std::uint8_t outcome);
    /** Tells all live peers that an upstream is leaving. */
    void announceLeaving(const LeavingUpstream &upstream);
    /** Tells all live peers that an upstream has named, changed or ended its limit. */
    void announceLimit(const UpstreamLimit &limit);
    /** Tells all live peers of a crash within `batchDelay`; at most `maxCrashesPerBatch` crashes in that time. */
    void announceCrash(CrashRecord crash);
    /** Tells all live peers within `batchDelay` that a request with a suspect of crashes has succeeded. */
    void announceSuccess(std::uint64_t suspect);
    /** Tells all live peers within `batchDelay` of a fact. Peers of builds without extension messages ignore it. */
    void announceExtension(const ExtensionRecord &record);
    /** As `announceExtension`, but only the live peers of the own cell. */
    void announceExtensionToCell(const ExtensionRecord &record);
    /** Sends a full-state message to all targets at once, for a change of readiness or leaving. */
    void sendFullState();
    /**
     * Tells a few random peers that this instance has a newer published state. A peer that is behind fetches it and
     * tells others in turn. Messages from each instance to all others would grow with the square of the fleet.
     */
    void announcePublishedState();
    /** Tells all live peers that this instance has checked the store, so that they need not. */
    void announceStoreCheck();

    [[nodiscard]] const PeerTable &table() const;
    /** Returns the number of live instances in each cell of the fleet as this instance sees it. */
    [[nodiscard]] const std::vector<std::size_t> &cellSizes() const;
    [[nodiscard]] std::size_t ownCellIndex() const;

    void onReady(bool isReadable, bool isWritable, bool isBroken) override;

private:
    class SnapshotServer;
    class SnapshotCall;

    [[nodiscard]] PeerMessage makeMessage();
    /**
     * Includes up to `addressCount` peer addresses, starting each time after the previous ones, and with them the
     * quarantine. Placements are included
     * only if `isForOwnCell`.
     */
    [[nodiscard]] PeerMessage makeFullStateMessage(std::size_t addressCount, bool isForOwnCell);
    [[nodiscard]] bool isInOwnCell(const std::string &instance) const;
    void sendTo(const PeerAddress &address, const std::string &bytes);
    /** Sends to the live peers of the own cell, in the compact form to those that read it. */
    void sendToLivePeers(const PeerMessage &message);
    void sendToLivePeersOfCell(const std::string &bytes);
    void sendToAllLivePeers(const std::string &bytes);
    void flushBatch();
    void flushCrashes();
    void flushExtensions();
    /** Returns the datagrams with the given records; at least one, which states the capabilities. */
    [[nodiscard]] std::vector<std::string> makeExtensionDatagrams(const std::vector<ExtensionRecord> &records);
    void scheduleBatch();
    void sendHeartbeat();
    void probePeers();
    void logSilentPeers();
    void updateCellCount();
    void handleDatagram(std::string_view bytes, const Poco::Net::SocketAddress &from);
    void handleBaseMessage(std::string_view bytes, const Poco::Net::SocketAddress &from);
    void handleCompactIncrement(std::string_view bytes, const Poco::Net::SocketAddress &from);
    void handleProbe(std::string_view bytes, const Poco::Net::SocketAddress &from);
    void handleExtension(std::string_view bytes, const Poco::Net::SocketAddress &from);
    void applyPeerMessage(const PeerMessage &message);
    /** Counts and logs a datagram or snapshot that is not used. */
    void reject(RejectReason reason, const Poco::Net::SocketAddress &from);
    void scheduleFetch(const Peer &peer);
    /** Looks for a peer that has a state, for an instance that has none and no answer of the store. */
    void lookForSource();
    void lookForSourceAfter(Milliseconds delay);
    /** Returns a live peer of the own data centre that has what `peer` has, or `peer` if there is none. */
    [[nodiscard]] Peer nearestSource(const Peer &peer);
    void fetch(const Peer &from);

    eventloop::EventLoop &m_loop;
    FleetLinkSettings m_settings;
    IFleetDelegate &m_delegate;
    PeerTable m_table;
    FailureDetector m_detector;
    Random m_random;
    // Time of the last full state that was sent because peers suspected this instance.
    MonoTime m_refutedAt{};
    Poco::Net::DatagramSocket m_socket;
    std::shared_ptr<SnapshotServer> m_server;
    std::shared_ptr<SnapshotCall> m_call;
    // Timer of the scheduled snapshot fetch; 0 if there is none.
    eventloop::TimerId m_fetchTimer = 0;
    MonoTime m_fetchDue{};
    // After a failed fetch, the time before which no other starts.
    MonoTime m_earliestFetch{};
    std::size_t m_cellCount = 1;
    // Invariant: has `m_cellCount` entries and counts this instance.
    std::vector<std::size_t> m_cellSizes{1};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_extensionSequence = 0;
    std::uint64_t m_fullStatesSent = 0;
    std::size_t m_nextAddressIndex = 0;
    std::vector<std::uint64_t> m_decoding;
    std::vector<PlacementEnd> m_ends;
    std::vector<CrashRecord> m_crashes;
    std::set<std::uint64_t> m_succeeded;
    std::vector<ExtensionRecord> m_extensionsForAll;
    std::vector<ExtensionRecord> m_extensionsForCell;
    bool m_isBatchScheduled = false;
    bool m_isStopped = false;
    RejectionLog m_rejectionLog;
    // Peers whose silence was logged.
    std::set<std::string> m_silentPeers;
};

} // namespace magnolia::fleet
