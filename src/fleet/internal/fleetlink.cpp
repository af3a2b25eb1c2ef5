// Datagrams between instances, and the passing on of what is published.
#include "fleet/fleetlink.h"

#include "fleet/cells.h"
#include "fleet/internal/fetchdelay.h"
#include "framework/eventloop/tcpstream.h"
#include "framework/global/hashing.h"
#include "framework/logging/log.h"
#include "peerlink/binarycodec.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <cstring>
#include <iterator>

namespace magnolia::fleet
{

namespace
{

/** Placements of one message; the rest follows with the next, and a datagram stays within what networks carry. */
constexpr std::size_t mostPlacements = 400;
constexpr std::size_t largestDatagram = 60 * 1024;
/** Ends and first events wait this long for others to go with them. */
constexpr Milliseconds batchTime{5};
/** Every so many whole messages name the peers that their sender knows; those that are new update it at once. */
constexpr std::uint64_t introductionBeats = 8;
/** Peers named in one message now and then; each names others. */
constexpr std::size_t introducedPeers = 32;
/** Peers named to one that has just started: a few such answers name a whole fleet, so that all meet within two beats.
 */
constexpr std::size_t peersForNewcomers = 128;
/** Peers that are told all at the same time. Three of a megabyte pass the slowest published link within a second. */
constexpr std::size_t mostSnapshots = 3;
/** After a peer has not told; it serves others meanwhile. */
constexpr Milliseconds fetchRetry{120};
/** A peer that does not send all it knows within this time is given up. */
constexpr Milliseconds fetchTime{3000};
constexpr std::size_t largestSnapshot = 32 * 1024 * 1024;
constexpr eventloop::SilenceLimits peerSilence{Milliseconds{1000}, Milliseconds{1000}, 2, Milliseconds{1500}};

} // namespace

/** Gives all that is published to whoever connects. */
class FleetLink::SnapshotServer : public eventloop::IReadiness, public std::enable_shared_from_this<SnapshotServer>
{
public:
    SnapshotServer(eventloop::EventLoop &loop, IFleetDelegate &user)
        : m_loop(loop)
        , m_delegate(user)
    {
    }

    void listen(const PeerAddress &address)
    {
        m_socket.bind(Poco::Net::SocketAddress(address.ip, address.port), true);
        m_socket.listen();
        m_socket.setBlocking(false);
        m_loop.add(m_socket.impl()->sockfd(), shared_from_this(), {true, false});
    }

    void stop()
    {
        m_loop.remove(m_socket.impl()->sockfd());
    }

    void onReady(bool /*isReadable*/, bool /*isWritable*/, bool /*isBroken*/) override
    {
        try {
            Poco::Net::StreamSocket socket = m_socket.acceptConnection();
            if (m_sending >= mostSnapshots) {
                socket.close();
                return;
            }
            ++m_sending;
            const auto sending = std::make_shared<Sending>();
            sending->stream = eventloop::TcpStream::adopt(m_loop, socket, *sending, peerSilence);
            sending->self = sending;
            sending->server = shared_from_this();
            const std::string bytes = peerlink::encode(m_delegate.snapshot());
            sending->stream->write(bytes);
            sending->stream->shutdownOutput();
            // A peer that stands still keeps its connection; it has given up by then.
            m_loop.after(2 * fetchTime, [weak = std::weak_ptr(sending)] {
                if (const auto late = weak.lock(); late && late->self) {
                    late->onEnd(eventloop::StreamEnd::Broken);
                }
            });
        } catch (const Poco::Exception &ex) {
            logging::write(
                logging::Level::Warning, "fleet", "snapshot_not_sent", {{"detail", std::string_view(ex.message())}});
        }
    }

private:
    /** Lives until the peer has closed. */
    struct Sending : eventloop::ITcpStreamUser
    {
        std::shared_ptr<eventloop::TcpStream> stream;
        std::shared_ptr<Sending> self;
        std::shared_ptr<SnapshotServer> server;

        void onInput() override
        {
            stream->input().clear();
        }
        void onEnd(eventloop::StreamEnd /*end*/) override
        {
            const auto kept = std::move(self);
            stream->close();
            --server->m_sending;
        }
    };

    eventloop::EventLoop &m_loop;
    IFleetDelegate &m_delegate;
    Poco::Net::ServerSocket m_socket;
    std::size_t m_sending = 0;
};

/** Asks one peer for all that it knows. */
class FleetLink::SnapshotCall : public eventloop::ITcpStreamUser, public std::enable_shared_from_this<SnapshotCall>
{
public:
    SnapshotCall(eventloop::EventLoop &loop, std::function<void(Result<Snapshot>)> done)
        : m_loop(loop)
        , m_done(std::move(done))
    {
    }

    void start(const PeerAddress &address)
    {
        m_stream = eventloop::TcpStream::connect(
            m_loop, address.ip + ':' + std::to_string(address.port), *this, peerSilence);
        m_timer = m_loop.after(fetchTime, [self = shared_from_this()] {
            self->finish(makeError(ResultCode::PeerUnreachable, "no snapshot in time"));
        });
    }

    void onInput() override
    {
        if (m_stream->input().size() > largestSnapshot) {
            finish(makeError(ResultCode::PeerMessageMalformed, "snapshot too large"));
            return;
        }
        m_bytes.append(m_stream->input());
        m_stream->input().clear();
    }

    void onEnd(eventloop::StreamEnd end) override
    {
        if (end == eventloop::StreamEnd::Broken) {
            finish(makeError(ResultCode::PeerUnreachable, "connection broke"));
            return;
        }
        finish(peerlink::decode<Snapshot>(m_bytes));
    }

private:
    void finish(const Result<Snapshot> &result)
    {
        const auto self = shared_from_this();
        m_loop.cancel(m_timer);
        m_stream->close();
        if (const auto done = std::move(m_done)) {
            m_done = nullptr;
            done(result);
        }
    }

    eventloop::EventLoop &m_loop;
    std::function<void(Result<Snapshot>)> m_done;
    std::shared_ptr<eventloop::TcpStream> m_stream;
    eventloop::TimerId m_timer = 0;
    std::string m_bytes;
};

FleetLink::FleetLink(eventloop::EventLoop &loop, FleetLinkSettings settings, IFleetDelegate &user)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_delegate(user)
    , m_table(m_settings.instance, m_settings.address, m_settings.seeds)
    , m_server(std::make_shared<SnapshotServer>(loop, user))
{
}

Result<void> FleetLink::start()
{
    try {
        m_socket.bind(Poco::Net::SocketAddress(m_settings.address.ip, m_settings.address.port), true);
        m_socket.setBlocking(false);
        m_server->listen(m_settings.address);
    } catch (const Poco::Exception &ex) {
        return makeError(ResultCode::ListenFailed, "port for peers: " + ex.displayText());
    }
    m_loop.add(m_socket.impl()->sockfd(), shared_from_this(), {true, false});
    beat();
    return {};
}

void FleetLink::stop()
{
    m_isStopped = true;
    m_loop.remove(m_socket.impl()->sockfd());
    m_server->stop();
}

PeerMessage FleetLink::makeMessage()
{
    const OwnState own = m_delegate.ownState();
    PeerMessage message;
    message.instance = m_settings.instance;
    message.incarnation = m_settings.incarnation;
    message.sequence = ++m_sequence;
    message.isReady = own.isReady;
    message.isLeaving = own.isLeaving;
    message.configurationVersion = own.configurationVersion;
    message.storeRevision = own.storeRevision;
    return message;
}

bool FleetLink::isInOwnCell(const std::string &instance) const
{
    return cellIndex(stableHash(instance), m_cellCount) == ownCellIndex();
}

std::size_t FleetLink::cellCount() const
{
    return m_cellCount;
}

std::size_t FleetLink::ownCellIndex() const
{
    return cellIndex(stableHash(m_settings.instance), m_cellCount);
}

PeerMessage FleetLink::makeWhole(std::size_t introduced, bool isForOwnCell)
{
    PeerMessage message = makeMessage();
    message.dataCentre = m_settings.dataCentre;
    message.address = m_settings.address;
    message.callerAddress = m_settings.callerAddress;
    if (isForOwnCell) {
        message.placements = m_delegate.ownPlacements();
    }
    message.isFullState = message.placements.size() <= mostPlacements;
    message.placements.resize(std::min(message.placements.size(), mostPlacements));
    const auto &peers = m_table.peers();
    if (introduced == 0 || peers.empty()) {
        return message;
    }
    auto next = std::next(peers.begin(), static_cast<std::ptrdiff_t>(m_introduced % peers.size()));
    for (std::size_t i = 0; i < std::min(introduced, peers.size()); ++i) {
        if (!m_table.isSilent(next->second, m_loop.now())) {
            message.peers.push_back(next->second.address);
        }
        ++m_introduced;
        next = std::next(next) == peers.end() ? peers.begin() : std::next(next);
    }
    return message;
}

void FleetLink::sendTo(const PeerAddress &address, const std::string &bytes)
{
    try {
        m_socket.sendTo(
            bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(address.ip, address.port));
    } catch (const Poco::Exception &ex) {
        // A datagram may be lost anyway; the next whole message repairs what this one said.
        logging::write(
            logging::Level::Debug, "fleet", "datagram_not_sent", {{"detail", std::string_view(ex.message())}});
    }
}

void FleetLink::sendToLive(const PeerMessage &message)
{
    const std::string bytes = peerlink::encode(message);
    for (const auto &[name, peer] : m_table.peers()) {
        if (isInOwnCell(name) && !m_table.isSilent(peer, m_loop.now())) {
            sendTo(peer.address, bytes);
        }
    }
}

void FleetLink::announcePlacement(const PlacementRecord &note)
{
    PeerMessage message = makeMessage();
    message.placements.push_back(note);
    message.decoding.swap(m_decoding);
    message.ends.swap(m_ends);
    sendToLive(message);
}

void FleetLink::announceDecoding(std::uint64_t id)
{
    m_decoding.push_back(id);
    scheduleBatch();
}

void FleetLink::announceEnd(const PlacementEnd &note)
{
    m_ends.push_back(note);
    scheduleBatch();
}

void FleetLink::scheduleBatch()
{
    if (m_isBatchDue) {
        return;
    }
    m_isBatchDue = true;
    m_loop.after(batchTime, [self = shared_from_this()] {
        self->m_isBatchDue = false;
        self->flushBatch();
    });
}

void FleetLink::flushBatch()
{
    if (m_decoding.empty() && m_ends.empty()) {
        return;
    }
    PeerMessage message = makeMessage();
    message.decoding.swap(m_decoding);
    message.ends.swap(m_ends);
    sendToLive(message);
}

void FleetLink::sendFullState()
{
    const std::size_t introduced = m_beats++ % introductionBeats == 0 ? introducedPeers : 0;
    const std::string bytes = peerlink::encode(makeWhole(introduced, true));
    if (m_cellCount == 1) {
        for (const PeerAddress &it : m_table.targets(m_loop.now())) {
            sendTo(it, bytes);
        }
        return;
    }
    std::set<PeerAddress> ownCell;
    for (const auto &[name, peer] : m_table.peers()) {
        if (isInOwnCell(name)) {
            ownCell.insert(peer.address);
        }
    }
    const std::string light = peerlink::encode(makeWhole(introduced, false));
    for (const PeerAddress &it : m_table.targets(m_loop.now())) {
        sendTo(it, ownCell.contains(it) ? bytes : light);
    }
}

void FleetLink::beat()
{
    if (m_isStopped) {
        return;
    }
    flushBatch();
    m_table.prune(m_loop.now());
    updateCellCount();
    sendFullState();
    const MonoTime now = m_loop.now();
    for (const auto &[name, peer] : m_table.peers()) {
        if (!m_table.isSilent(peer, now)) {
            m_silent.erase(name);
        } else if (m_silent.insert(name).second) {
            logging::write(logging::Level::Warning, "fleet", "peer_silent",
                {{"peer", std::string_view(name)},
                    {"silent_ms", std::int64_t{toMilliseconds(now - peer.lastHeardAt).count()}}});
            m_delegate.onPeerLost(name);
        }
    }
    m_loop.after(m_table.interval(), [self = shared_from_this()] {
        self->beat();
    });
}

void FleetLink::updateCellCount()
{
    const std::size_t live = m_table.liveInstanceCount(m_loop.now());
    const std::size_t cells = nextCellCount(m_cellCount, live);
    if (cells != m_cellCount) {
        m_cellCount = cells;
        logging::write(logging::Level::Info, "fleet", "cells_counted",
            {{"cells", std::uint64_t{cells}}, {"own", std::uint64_t{ownCellIndex()}}, {"live", std::uint64_t{live}}});
    }
}

const PeerTable &FleetLink::table() const
{
    return m_table;
}

void FleetLink::onReady(bool /*isReadable*/, bool /*isWritable*/, bool /*isBroken*/)
{
    std::array<char, largestDatagram> buf{};
    constexpr int mostInARow = 64;
    for (int i = 0; i < mostInARow; ++i) {
        try {
            const int n = m_socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
            if (n <= 0) {
                return;
            }
            receive(std::string_view(buf.data(), static_cast<std::size_t>(n)));
        } catch (const Poco::Exception &) {
            // An earlier datagram found no listener; nothing was received.
            return;
        }
    }
}

void FleetLink::receive(std::string_view bytes)
{
    const auto message = peerlink::decode<PeerMessage>(bytes);
    if (!message || message->format != PeerMessage::currentFormat) {
        logging::write(logging::Level::Debug, "fleet", "datagram_malformed", {});
        return;
    }
    const PeerTable::UpdateResult heard = m_table.update(*message, m_loop.now());
    if (heard == PeerTable::UpdateResult::Ignored) {
        return;
    }
    if (heard == PeerTable::UpdateResult::NewIncarnation) {
        logging::write(logging::Level::Info, "fleet", "peer_started",
            {{"peer", std::string_view(message->instance)}, {"incarnation", message->incarnation}});
        m_delegate.onPeerLost(message->instance);
    }
    m_delegate.onPeerMessage(*message);
    if (heard == PeerTable::UpdateResult::NewIncarnation) {
        // It learns at once what it would otherwise update with the next beat.
        sendTo(message->address, peerlink::encode(makeWhole(peersForNewcomers, isInOwnCell(message->instance))));
    }
    const auto peer = m_table.peers().find(message->instance);
    if (peer != m_table.peers().end()) {
        considerFetch(peer->second);
    }
}

void FleetLink::considerFetch(const Peer &peer)
{
    const auto delay = fetchDelay(m_delegate.ownState(), peer);
    const MonoTime now = m_loop.now();
    if (!delay || m_call) {
        return;
    }
    const MonoTime due = std::max(now + *delay, m_fetchNotBefore);
    if (m_fetchTimer != 0 && due >= m_fetchAt) {
        return;
    }
    m_loop.cancel(m_fetchTimer);
    m_fetchAt = due;
    m_fetchTimer = m_loop.after(toMilliseconds(due - now), [self = shared_from_this(), peer, now] {
        self->m_fetchTimer = 0;
        // What the peer had when the fetch was thought of may have come from the store meanwhile.
        if (!self->m_isStopped && isFetchNeeded(self->m_delegate.ownState(), peer, now)) {
            self->fetch(peer);
        }
    });
}

void FleetLink::fetch(const Peer &from)
{
    const OwnState own = m_delegate.ownState();
    logging::write(logging::Level::Info, "fleet", "snapshot_asked",
        {{"peer", std::string_view(from.instance)}, {"peer_revision", from.storeRevision},
            {"own_revision", own.storeRevision}, {"store_reached", own.isStoreConnected}});
    m_call = std::make_shared<SnapshotCall>(m_loop, [this](const Result<Snapshot> &snapshot) {
        m_call.reset();
        if (snapshot) {
            m_delegate.onSnapshot(*snapshot);
        } else {
            m_fetchNotBefore = m_loop.now() + fetchRetry;
        }
    });
    m_call->start(from.address);
}

} // namespace magnolia::fleet
