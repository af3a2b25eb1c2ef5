// Carries the messages between instances: datagrams for what is fresh, a connection for all that is published.
#pragma once

#include "fleet/ifleetdelegate.h"
#include "fleet/peertable.h"
#include "fleet/types/peermessage.h"
#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/ireadiness.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>

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
    std::uint64_t incarnation = 0;
};

class FleetLink : public eventloop::IReadiness, public std::enable_shared_from_this<FleetLink>
{
public:
    FleetLink(eventloop::EventLoop &loop, FleetLinkSettings settings, IFleetDelegate &user);

    /** Opens the ports and says hello. Error: ListenFailed (9004). */
    [[nodiscard]] Result<void> start();
    void stop();

    /** Tells the live peers of the own cell at once. */
    void announcePlacement(const PlacementRecord &note);
    /** Tells within `batchTime`. */
    void announceDecoding(std::uint64_t id);
    void announceEnd(const PlacementEnd &note);
    /** Sends a whole message to all now, as when readiness, leaving or the configuration has changed. */
    void sendFullState();

    [[nodiscard]] const PeerTable &table() const;
    /** Cells that the fleet is divided into, as this instance counts it. */
    [[nodiscard]] std::size_t cellCount() const;
    [[nodiscard]] std::size_t ownCellIndex() const;

    void onReady(bool isReadable, bool isWritable, bool isBroken) override;

private:
    class SnapshotServer;
    class SnapshotCall;

    [[nodiscard]] PeerMessage makeMessage();
    /** Names up to `introduced` of the known peers, others each time; placements are for the own cell only. */
    [[nodiscard]] PeerMessage makeWhole(std::size_t introduced, bool isForOwnCell);
    [[nodiscard]] bool isInOwnCell(const std::string &instance) const;
    void sendTo(const PeerAddress &address, const std::string &bytes);
    void sendToLive(const PeerMessage &message);
    void flushBatch();
    void scheduleBatch();
    void beat();
    void updateCellCount();
    void receive(std::string_view bytes);
    void considerFetch(const Peer &peer);
    void fetch(const Peer &from);

    eventloop::EventLoop &m_loop;
    FleetLinkSettings m_settings;
    IFleetDelegate &m_delegate;
    PeerTable m_table;
    Poco::Net::DatagramSocket m_socket;
    std::shared_ptr<SnapshotServer> m_server;
    std::shared_ptr<SnapshotCall> m_call;
    // The fetch that is due unless this instance learns by itself before; zero: none.
    eventloop::TimerId m_fetchTimer = 0;
    MonoTime m_fetchAt{};
    // Not before, after a peer did not tell.
    MonoTime m_fetchNotBefore{};
    std::size_t m_cellCount = 1;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_beats = 0;
    std::size_t m_introduced = 0;
    std::vector<std::uint64_t> m_decoding;
    std::vector<PlacementEnd> m_ends;
    bool m_isBatchDue = false;
    bool m_isStopped = false;
    // Peers whose silence was told to the user.
    std::set<std::string> m_silent;
};

} // namespace magnolia::fleet
