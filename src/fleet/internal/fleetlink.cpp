// Implements the datagrams between instances and the transfer of snapshots.
#include "fleet/fleetlink.h"

#include "fleet/cells.h"
#include "fleet/compactincrement.h"
#include "fleet/extensioncodec.h"
#include "fleet/internal/fetchdelay.h"
#include "fleet/startupfetch.h"
#include "framework/eventloop/tcpstream.h"
#include "framework/global/hashing.h"
#include "framework/logging/log.h"
#include "peerlink/binarycodec.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cmath>
#include <iterator>
#include <utility>

namespace magnolia::fleet
{

namespace
{

/** Upper bound of the placements in one message, which keeps it below the size limit of a datagram. */
constexpr std::size_t maxPlacementsPerMessage = 400;
constexpr std::size_t maxDatagramSize = 60 * 1024;
/** Wait in which ends and first events of several placements are collected into one message. */
constexpr Milliseconds batchDelay{5};
/** Crash reports in one message; an instance has few requests at each upstream. */
constexpr std::size_t maxCrashesPerBatch = 64;
/** Quarantine entries in one full-state message. */
constexpr std::size_t maxQuarantineRecords = 16;
/** One in this many full-state messages includes peer addresses and is followed by a full extension message; a new peer
 * gets both at once. */
constexpr std::uint64_t addressExchangePeriod = 8;
/** Peer addresses in such a message; the next one continues with other peers. */
constexpr std::size_t addressesPerExchange = 32;
/** Peer addresses sent to a new peer. A few answers cover the fleet: all peers are known within two heartbeats. */
constexpr std::size_t addressesForNewPeer = 128;
/** Wait after a failed fetch, in which the peer serves others. */
constexpr Milliseconds fetchRetryDelay{120};
/** Time limit for the receipt of a snapshot. */
constexpr Milliseconds fetchTimeout{3000};
/** Peers that are told at once of a new published state; with most instances up to date, hardly any peer is left out.
 */
constexpr std::size_t peersToldOfChange = 8;
/** Minimum time between two messages by which this instance refutes suspicions against itself. */
constexpr Milliseconds minRefutationInterval{1000};
constexpr std::size_t maxSnapshotSize = 32 * 1024 * 1024;
constexpr eventloop::TcpTimeouts peerTcpTimeouts{Milliseconds{1000}, Milliseconds{1000}, 2, Milliseconds{1500}};

/** Whether the address is not a name, which would be looked up when something is sent to it and block the event loop.
 */
bool isNumeric(const PeerAddress &address)
{
    in_addr version4{};
    Poco::Net::IPAddress parsed;
    return ::inet_pton(AF_INET, address.ip.c_str(), &version4) == 1
        || Poco::Net::IPAddress::tryParse(address.ip, parsed);
}

/** Increments have no addresses. */
bool hasNumericAddresses(const PeerMessage &message)
{
    return (message.callerAddress.empty() || isNumeric(message.address))
        && std::all_of(message.peers.begin(), message.peers.end(), isNumeric);
}

/** Returns why a message is not used that was not decoded, or has an address that is not numeric. */
template <typename T>
RejectReason reasonOf(const tl::expected<T, peerlink::DecodeFailure> &message)
{
    return !message && message.error().isTruncated ? RejectReason::Truncated : RejectReason::Malformed;
}

} // namespace

/** Sends a snapshot of the published state on each accepted connection. */
class FleetLink::SnapshotServer : public eventloop::IReadinessHandler,
                                  public std::enable_shared_from_this<SnapshotServer>
{
public:
    SnapshotServer(eventloop::EventLoop &loop, IFleetDelegate &delegate)
        : m_loop(loop)
        , m_delegate(delegate)
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
            if (m_transferCount >= maxConcurrentSnapshots) {
                socket.close();
                return;
            }
            ++m_transferCount;
            const auto transfer = std::make_shared<Transfer>();
            transfer->stream = eventloop::TcpStream::adopt(m_loop, socket, *transfer, peerTcpTimeouts);
            transfer->self = transfer;
            transfer->server = shared_from_this();
            const std::string bytes = peerlink::encode(m_delegate.snapshot());
            transfer->stream->write(bytes);
            transfer->stream->shutdownOutput();
            // A stalled peer would keep its connection open; its own time limit has passed by then.
            m_loop.after(2 * fetchTimeout, [weak = std::weak_ptr(transfer)] {
                if (const auto unfinished = weak.lock(); unfinished && unfinished->self) {
                    unfinished->onEnd(eventloop::StreamEnd::Broken);
                }
            });
        } catch (const Poco::Exception &ex) {
            logging::write(
                logging::Level::Warning, "fleet", "snapshot_not_sent", {{"detail", std::string_view(ex.message())}});
        }
    }

private:
    /** Keeps itself alive until the connection ends. */
    struct Transfer : eventloop::ITcpStreamListener
    {
        std::shared_ptr<eventloop::TcpStream> stream;
        std::shared_ptr<Transfer> self;
        std::shared_ptr<SnapshotServer> server;

        void onInput() override
        {
            stream->input().clear();
        }
        void onEnd(eventloop::StreamEnd /*end*/) override
        {
            const auto kept = std::move(self);
            stream->close();
            --server->m_transferCount;
        }
    };

    eventloop::EventLoop &m_loop;
    IFleetDelegate &m_delegate;
    Poco::Net::ServerSocket m_socket;
    std::size_t m_transferCount = 0;
};

/** Fetches a snapshot of the published state from one peer. */
class FleetLink::SnapshotCall : public eventloop::ITcpStreamListener, public std::enable_shared_from_this<SnapshotCall>
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
            m_loop, address.ip + ':' + std::to_string(address.port), *this, peerTcpTimeouts);
        m_timer = m_loop.after(fetchTimeout, [self = shared_from_this()] {
            self->finish(makeError(ResultCode::PeerUnreachable, "snapshot not received within the time limit"));
        });
    }

    void onInput() override
    {
        if (m_stream->input().size() > maxSnapshotSize) {
            finish(makeError(ResultCode::PeerMessageMalformed, "snapshot exceeds 32 MiB"));
            return;
        }
        m_bytes.append(m_stream->input());
        m_stream->input().clear();
    }

    void onEnd(eventloop::StreamEnd end) override
    {
        if (end == eventloop::StreamEnd::Broken) {
            finish(makeError(ResultCode::PeerUnreachable, "connection broke before the snapshot was complete"));
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

FleetLink::FleetLink(eventloop::EventLoop &loop, FleetLinkSettings settings, IFleetDelegate &delegate)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_delegate(delegate)
    , m_table(m_settings.instance, m_settings.address, m_settings.seeds, m_settings.peerTable)
    , m_detector(m_settings.instance, m_settings.incarnation, m_settings.address)
    , m_random(stableHash(m_settings.instance, m_settings.incarnation))
    , m_server(std::make_shared<SnapshotServer>(loop, delegate))
{
}

Result<void> FleetLink::start()
{
    try {
        m_socket.bind(Poco::Net::SocketAddress(m_settings.address.ip, m_settings.address.port), true);
        m_socket.setBlocking(false);
        m_server->listen(m_settings.address);
    } catch (const Poco::Exception &ex) {
        return makeError(ResultCode::ListenFailed, "cannot open the peer port: " + ex.displayText());
    }
    m_loop.add(m_socket.impl()->sockfd(), shared_from_this(), {true, false});
    sendHeartbeat();
    probePeers();
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
    message.isPartitioned = own.isPartitioned;
    message.configurationVersion = own.configurationVersion;
    message.storePosition = own.storePosition;
    return message;
}

bool FleetLink::isInOwnCell(const std::string &instance) const
{
    return cellIndex(stableHash(instance), m_cellCount) == ownCellIndex();
}

const std::vector<std::size_t> &FleetLink::cellSizes() const
{
    return m_cellSizes;
}

std::size_t FleetLink::ownCellIndex() const
{
    return cellIndex(stableHash(m_settings.instance), m_cellCount);
}

PeerMessage FleetLink::makeFullStateMessage(std::size_t addressCount, bool isForOwnCell)
{
    PeerMessage message = makeMessage();
    message.dataCentre = m_settings.dataCentre;
    message.address = m_settings.address;
    message.callerAddress = m_settings.callerAddress;
    message.relayAddress = m_settings.relayAddress;
    if (isForOwnCell) {
        message.placements = m_delegate.ownPlacements();
    }
    if (addressCount > 0) {
        message.quarantine = m_delegate.ownQuarantine();
        message.quarantine.resize(std::min(message.quarantine.size(), maxQuarantineRecords));
    }
    message.isFullState = message.placements.size() <= maxPlacementsPerMessage;
    message.placements.resize(std::min(message.placements.size(), maxPlacementsPerMessage));
    const auto &peers = m_table.peers();
    if (addressCount == 0 || peers.empty()) {
        return message;
    }
    auto next = std::next(peers.begin(), static_cast<std::ptrdiff_t>(m_nextAddressIndex % peers.size()));
    for (std::size_t i = 0; i < std::min(addressCount, peers.size()); ++i) {
        if (!m_table.isSilent(next->second, m_loop.now())) {
            message.peers.push_back(next->second.address);
        }
        ++m_nextAddressIndex;
        next = std::next(next) == peers.end() ? peers.begin() : std::next(next);
    }
    return message;
}

void FleetLink::sendTo(const PeerAddress &address, const std::string &bytes)
{
    m_delegate.onDatagramSent(static_cast<std::uint8_t>(bytes[1]), bytes.size());
    try {
        m_socket.sendTo(
            bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(address.ip, address.port));
    } catch (const Poco::Exception &ex) {
        // Datagrams may be lost anyway; the next full-state message makes up for this one.
        logging::write(
            logging::Level::Debug, "fleet", "datagram_not_sent", {{"detail", std::string_view(ex.message())}});
    }
}

void FleetLink::sendToLivePeers(const PeerMessage &message)
{
    const std::string bytes = peerlink::encode(message);
    const std::optional<std::string> compact = encodeCompactIncrement(message);
    for (const auto &[name, peer] : m_table.peers()) {
        if (isInOwnCell(name) && !m_table.isSilent(peer, m_loop.now())) {
            sendTo(peer.address, compact && peer.hasCapability(Capability::CompactIncrements) ? *compact : bytes);
        }
    }
}

void FleetLink::sendToLivePeersOfCell(const std::string &bytes)
{
    for (const auto &[name, peer] : m_table.peers()) {
        if (isInOwnCell(name) && !m_table.isSilent(peer, m_loop.now())) {
            sendTo(peer.address, bytes);
        }
    }
}

void FleetLink::announcePlacement(const PlacementRecord &placement)
{
    PeerMessage message = makeMessage();
    message.placements.push_back(placement);
    message.decoding.swap(m_decoding);
    message.ends.swap(m_ends);
    sendToLivePeers(message);
}

void FleetLink::announceDecoding(std::uint64_t id)
{
    m_decoding.push_back(id);
    scheduleBatch();
}

void FleetLink::announceEnd(const PlacementEnd &end)
{
    m_ends.push_back(end);
    scheduleBatch();
}

void FleetLink::announceEvidence(std::uint64_t upstream, std::uint8_t outcome)
{
    announceEnd({PlacementEnd::noPlacement, upstream, outcome});
}

void FleetLink::announceLeaving(const LeavingUpstream &upstream)
{
    PeerMessage message = makeMessage();
    message.leaving.push_back(upstream);
    sendToAllLivePeers(peerlink::encode(message));
}

void FleetLink::announceLimit(const UpstreamLimit &limit)
{
    PeerMessage message = makeMessage();
    message.limits.push_back(limit);
    sendToAllLivePeers(peerlink::encode(message));
}

void FleetLink::announceCrash(CrashRecord crash)
{
    if (m_crashes.size() < maxCrashesPerBatch) {
        m_crashes.push_back(std::move(crash));
    }
    scheduleBatch();
}

void FleetLink::announceSuccess(std::uint64_t suspect)
{
    m_succeeded.insert(suspect);
    scheduleBatch();
}

void FleetLink::announceExtension(const ExtensionRecord &record)
{
    m_extensionsForAll.push_back(record);
    scheduleBatch();
}

void FleetLink::announceExtensionToCell(const ExtensionRecord &record)
{
    m_extensionsForCell.push_back(record);
    scheduleBatch();
}

std::vector<std::string> FleetLink::makeExtensionDatagrams(const std::vector<ExtensionRecord> &records)
{
    ExtensionMessage header;
    header.instance = m_settings.instance;
    header.incarnation = m_settings.incarnation;
    header.capabilities = m_settings.capabilities | static_cast<std::uint64_t>(Capability::CompactIncrements);
    std::vector<std::string> datagrams;
    for (ExtensionMessage &it : splitIntoMessages(header, records)) {
        it.sequence = ++m_extensionSequence;
        datagrams.push_back(encodeExtension(it));
    }
    return datagrams;
}

void FleetLink::flushExtensions()
{
    if (!m_extensionsForAll.empty()) {
        for (const std::string &it : makeExtensionDatagrams(std::exchange(m_extensionsForAll, {}))) {
            sendToAllLivePeers(it);
        }
    }
    if (!m_extensionsForCell.empty()) {
        for (const std::string &it : makeExtensionDatagrams(std::exchange(m_extensionsForCell, {}))) {
            sendToLivePeersOfCell(it);
        }
    }
}

void FleetLink::scheduleBatch()
{
    if (m_isBatchScheduled) {
        return;
    }
    m_isBatchScheduled = true;
    m_loop.after(batchDelay, [self = shared_from_this()] {
        self->m_isBatchScheduled = false;
        self->flushBatch();
    });
}

void FleetLink::flushCrashes()
{
    if (m_crashes.empty() && m_succeeded.empty()) {
        return;
    }
    PeerMessage message = makeMessage();
    message.crashes.swap(m_crashes);
    message.succeeded.assign(m_succeeded.begin(), m_succeeded.end());
    m_succeeded.clear();
    sendToAllLivePeers(peerlink::encode(message));
}

void FleetLink::flushBatch()
{
    flushCrashes();
    flushExtensions();
    if (m_decoding.empty() && m_ends.empty()) {
        return;
    }
    PeerMessage message = makeMessage();
    message.decoding.swap(m_decoding);
    message.ends.swap(m_ends);
    sendToLivePeers(message);
}

void FleetLink::sendFullState()
{
    const std::size_t addressCount = m_fullStatesSent++ % addressExchangePeriod == 0 ? addressesPerExchange : 0;
    const std::string bytes = peerlink::encode(makeFullStateMessage(addressCount, true));
    std::vector<std::string> extensions;
    if (addressCount > 0) {
        extensions = makeExtensionDatagrams(m_delegate.ownExtensionRecords());
    }
    // The extension messages follow the full state, as a peer uses them only after it knows their sender.
    const auto send = [&](const PeerAddress &to, const std::string &fullState) {
        sendTo(to, fullState);
        for (const std::string &it : extensions) {
            sendTo(to, it);
        }
    };
    if (m_cellCount == 1) {
        for (const PeerAddress &it : m_table.targets(m_loop.now())) {
            send(it, bytes);
        }
        return;
    }
    std::set<PeerAddress> ownCellAddresses;
    for (const auto &[name, peer] : m_table.peers()) {
        if (isInOwnCell(name)) {
            ownCellAddresses.insert(peer.address);
        }
    }
    const std::string bytesWithoutPlacements = peerlink::encode(makeFullStateMessage(addressCount, false));
    for (const PeerAddress &it : m_table.targets(m_loop.now())) {
        send(it, ownCellAddresses.contains(it) ? bytes : bytesWithoutPlacements);
    }
}

void FleetLink::announcePublishedState()
{
    const OwnState own = m_delegate.ownState();
    m_detector.setPublishedState(own.configurationVersion, own.storePosition, own.storeConfirmedAt);
    std::vector<const Peer *> live;
    for (const auto &[name, peer] : m_table.peers()) {
        if (!m_table.isSilent(peer, m_loop.now())) {
            live.push_back(&peer);
        }
    }
    const std::string bytes = peerlink::encode(m_detector.makeAnnouncement(m_loop.now(), m_random));
    for (std::size_t i = 0; i < peersToldOfChange && !live.empty(); ++i) {
        const std::size_t n = m_random.below(live.size());
        sendTo(live[n]->address, bytes);
        live[n] = live.back();
        live.pop_back();
    }
}

void FleetLink::announceStoreCheck()
{
    const OwnState own = m_delegate.ownState();
    m_detector.setPublishedState(own.configurationVersion, own.storePosition, own.storeConfirmedAt);
    sendToAllLivePeers(peerlink::encode(m_detector.makeAnnouncement(m_loop.now(), m_random)));
}

void FleetLink::sendToAllLivePeers(const std::string &bytes)
{
    for (const auto &[name, peer] : m_table.peers()) {
        if (!m_table.isSilent(peer, m_loop.now())) {
            sendTo(peer.address, bytes);
        }
    }
}

void FleetLink::sendHeartbeat()
{
    if (m_isStopped) {
        return;
    }
    flushBatch();
    m_table.prune(m_loop.now());
    updateCellCount();
    sendFullState();
    logSilentPeers();
    m_loop.after(m_table.heartbeatInterval(), [self = shared_from_this()] {
        self->sendHeartbeat();
    });
}

void FleetLink::logSilentPeers()
{
    const MonoTime now = m_loop.now();
    for (const auto &[name, peer] : m_table.peers()) {
        if (!m_table.isSilent(peer, now)) {
            m_silentPeers.erase(name);
        } else if (m_silentPeers.insert(name).second) {
            logging::write(logging::Level::Warning, "fleet", "peer_silent",
                {{"peer", std::string_view(name)},
                    {"silent_ms", std::int64_t{toMilliseconds(now - peer.lastHeardAt).count()}},
                    {"suspected", peer.isSuspected}});
        }
    }
}

void FleetLink::probePeers()
{
    if (m_isStopped) {
        return;
    }
    const OwnState own = m_delegate.ownState();
    m_detector.setPublishedState(own.configurationVersion, own.storePosition, own.storeConfirmedAt);
    for (const FailureDetector::Outgoing &it : m_detector.tick(m_table, m_loop.now(), m_random)) {
        sendTo(it.address, peerlink::encode(it.message));
    }
    logSilentPeers();
    updateCellCount();
    m_loop.after(m_detector.probeInterval(), [self = shared_from_this()] {
        self->probePeers();
    });
}

void FleetLink::handleProbe(std::string_view bytes, const Poco::Net::SocketAddress &from)
{
    const auto message = peerlink::decodeBy<ProbeMessage>(peerlink::DecodeRule::Exact, bytes);
    if (!message || !isNumeric(message->address)) {
        reject(reasonOf(message), from);
        return;
    }
    if (const auto ack = m_detector.onMessage(*message, m_table, m_loop.now(), m_random)) {
        sendTo(ack->address, peerlink::encode(ack->message));
    }
    if (m_detector.takeIsSuspected() && m_loop.now() - m_refutedAt > minRefutationInterval) {
        m_refutedAt = m_loop.now();
        logging::write(
            logging::Level::Info, "fleet", "suspicion_refuted", {{"told_by", std::string_view(message->instance)}});
        sendFullState();
    }
    const auto peer = m_table.peers().find(message->instance);
    if (peer == m_table.peers().end() || peer->second.incarnation != message->incarnation) {
        return;
    }
    if (message->storeAgeMs != ProbeMessage::unconfirmed) {
        m_delegate.onStoreConfirmed(message->storePosition, m_loop.now() - Milliseconds(message->storeAgeMs));
    }
    scheduleFetch(peer->second);
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
    m_cellSizes.assign(m_cellCount, 0);
    ++m_cellSizes[ownCellIndex()];
    for (const auto &[name, peer] : m_table.peers()) {
        if (!m_table.isSilent(peer, m_loop.now())) {
            ++m_cellSizes[cellIndex(stableHash(name), m_cellCount)];
        }
    }
}

const PeerTable &FleetLink::table() const
{
    return m_table;
}

void FleetLink::onReady(bool /*isReadable*/, bool /*isWritable*/, bool /*isBroken*/)
{
    // One byte more than allowed shows that a datagram is too large.
    std::array<char, maxDatagramSize + 1> buf{};
    constexpr int maxDatagramsPerWakeup = 64;
    Poco::Net::SocketAddress sender;
    for (int i = 0; i < maxDatagramsPerWakeup; ++i) {
        std::size_t size = 0;
        try {
            const int n = m_socket.receiveFrom(buf.data(), static_cast<int>(buf.size()), sender);
            if (n < 0) {
                return;
            }
            size = static_cast<std::size_t>(n);
        } catch (const Poco::Exception &) {
            // Reports that an earlier datagram could not be delivered; nothing was received.
            return;
        }
        try {
            handleDatagram(std::string_view(buf.data(), size), sender);
        } catch (const std::exception &ex) {
            logging::write(
                logging::Level::Debug, "fleet", "datagram_failed", {{"detail", std::string_view(ex.what())}});
            reject(RejectReason::Failed, sender);
        }
    }
}

void FleetLink::reject(RejectReason reason, const Poco::Net::SocketAddress &from)
{
    m_delegate.onRejected(reason);
    const std::string address = from.toString();
    if (m_rejectionLog.shouldLog(address, m_loop.now())) {
        logging::write(logging::Level::Warning, "fleet", "datagram_rejected",
            {{"from", std::string_view(address)}, {"reason", toString(reason)}});
    }
}

void FleetLink::handleDatagram(std::string_view bytes, const Poco::Net::SocketAddress &from)
{
    if (bytes.size() > maxDatagramSize) {
        reject(RejectReason::Oversized, from);
        return;
    }
    if (bytes.size() < 2) {
        reject(RejectReason::Truncated, from);
        return;
    }
    if (bytes.front() != '\0' && bytes.front() != '\1') {
        reject(RejectReason::Malformed, from);
        return;
    }
    // The format follows the byte order mark in all kinds of datagrams.
    switch (static_cast<std::uint8_t>(bytes[1])) {
    case PeerMessage::currentFormat:
        handleBaseMessage(bytes, from);
        return;
    case ProbeMessage::currentFormat:
        handleProbe(bytes, from);
        return;
    case ExtensionMessage::currentFormat:
        handleExtension(bytes, from);
        return;
    case compactIncrementFormat:
        handleCompactIncrement(bytes, from);
        return;
    default:
        reject(RejectReason::UnknownVersion, from);
    }
}

void FleetLink::handleBaseMessage(std::string_view bytes, const Poco::Net::SocketAddress &from)
{
    auto message = peerlink::decodeBy<PeerMessage>(peerlink::DecodeRule::Exact, bytes);
    if (!message || !hasNumericAddresses(*message)) {
        reject(reasonOf(message), from);
        return;
    }
    const auto infinite = std::erase_if(message->limits, [](const UpstreamLimit &it) {
        return !std::isfinite(it.requestsPerSecond);
    });
    if (infinite > 0) {
        reject(RejectReason::NotFinite, from);
    }
    applyPeerMessage(*message);
}

void FleetLink::handleCompactIncrement(std::string_view bytes, const Poco::Net::SocketAddress &from)
{
    auto increment = decodeCompactIncrement(bytes);
    if (!increment) {
        reject(RejectReason::Malformed, from);
        return;
    }
    // Like any increment, it counts only for a peer that is known by a full state.
    if (const Peer *sender = m_table.findByHash(increment->senderHash)) {
        increment->message.instance = sender->instance;
        applyPeerMessage(increment->message);
    }
}

void FleetLink::applyPeerMessage(const PeerMessage &message)
{
    const PeerTable::UpdateResult result = m_table.update(message, m_loop.now());
    if (result == PeerTable::UpdateResult::Ignored) {
        return;
    }
    if (result == PeerTable::UpdateResult::NewIncarnation) {
        logging::write(logging::Level::Info, "fleet", "peer_started",
            {{"peer", std::string_view(message.instance)}, {"incarnation", message.incarnation}});
        m_delegate.onPeerLost(message.instance);
    }
    m_delegate.onPeerMessage(message);
    if (result == PeerTable::UpdateResult::NewIncarnation) {
        // Without this answer the new peer would have to wait for the next heartbeat.
        sendTo(message.address,
            peerlink::encode(makeFullStateMessage(addressesForNewPeer, isInOwnCell(message.instance))));
        for (const std::string &it : makeExtensionDatagrams(m_delegate.ownExtensionRecords())) {
            sendTo(message.address, it);
        }
    }
    const auto peer = m_table.peers().find(message.instance);
    if (peer != m_table.peers().end()) {
        scheduleFetch(peer->second);
    }
}

void FleetLink::handleExtension(std::string_view bytes, const Poco::Net::SocketAddress &from)
{
    const auto message = decodeExtension(bytes);
    if (!message) {
        reject(message.error(), from);
        return;
    }
    if (m_table.recordExtension(*message)) {
        m_delegate.onExtensionRecords(message->instance, message->records);
    }
}

void FleetLink::scheduleFetch(const Peer &peer)
{
    const OwnState own = m_delegate.ownState();
    const auto delay = fetchDelay(own, peer);
    const MonoTime now = m_loop.now();
    if (!delay || m_call) {
        return;
    }
    if (!own.isComplete && !own.isStoreConnected) {
        if (m_fetchTimer == 0) {
            lookForSourceAfter(Milliseconds(m_random.below(startupLookInterval.count())));
        }
        return;
    }
    const MonoTime due = std::max(now + *delay, m_earliestFetch);
    if (m_fetchTimer != 0 && due >= m_fetchDue) {
        return;
    }
    m_loop.cancel(m_fetchTimer);
    m_fetchDue = due;
    m_fetchTimer = m_loop.after(toMilliseconds(due - now), [self = shared_from_this(), peer, now] {
        self->m_fetchTimer = 0;
        // Since the fetch was scheduled, the state may have come from the store.
        if (!self->m_isStopped && isFetchNeeded(self->m_delegate.ownState(), peer, now)) {
            self->fetch(self->nearestSource(peer));
        }
    });
}

void FleetLink::lookForSourceAfter(Milliseconds delay)
{
    m_fetchDue = m_loop.now() + delay;
    m_fetchTimer = m_loop.after(delay, [self = shared_from_this()] {
        self->m_fetchTimer = 0;
        self->lookForSource();
    });
}

void FleetLink::lookForSource()
{
    const OwnState own = m_delegate.ownState();
    if (m_isStopped || m_call || own.isComplete || own.isStoreConnected) {
        return;
    }
    StartupFetchView view;
    // Any state will do: what is newer comes from the store. The newest alone would be asked by all instances.
    std::vector<const Peer *> sources;
    std::vector<const Peer *> near;
    for (const auto &[name, it] : m_table.peers()) {
        if (m_table.isSilent(it, m_loop.now())) {
            continue;
        }
        if (!fetchDelay(own, it)) {
            ++view.withoutState;
            continue;
        }
        sources.push_back(&it);
        if (it.dataCentre == m_settings.dataCentre) {
            near.push_back(&it);
        }
    }
    view.sources = sources.size();
    if (sources.empty()) {
        return;
    }
    if (m_random.chance(startupFetchShare(view))) {
        const auto &candidates = near.empty() ? sources : near;
        fetch(*candidates[m_random.below(candidates.size())]);
    } else {
        lookForSourceAfter(startupLookDelay(m_random));
    }
}

Peer FleetLink::nearestSource(const Peer &peer)
{
    std::vector<const Peer *> near;
    for (const auto &[name, it] : m_table.peers()) {
        if (it.dataCentre == m_settings.dataCentre && it.storePosition >= peer.storePosition
            && it.configurationVersion >= peer.configurationVersion && !m_table.isSilent(it, m_loop.now())) {
            near.push_back(&it);
        }
    }
    return near.empty() ? peer : *near[m_random.below(near.size())];
}

void FleetLink::fetch(const Peer &from)
{
    const OwnState own = m_delegate.ownState();
    logging::write(logging::Level::Info, "fleet", "snapshot_asked",
        {{"peer", std::string_view(from.instance)}, {"peer_revision", from.storePosition.revision},
            {"own_revision", own.storePosition.revision}, {"peer_era", from.storePosition.era},
            {"own_era", own.storePosition.era}, {"store_reached", own.isStoreConnected}});
    const Poco::Net::SocketAddress address(from.address.ip, from.address.port);
    m_call = std::make_shared<SnapshotCall>(m_loop, [this, address](const Result<Snapshot> &snapshot) {
        m_call.reset();
        if (!snapshot) {
            m_earliestFetch = m_loop.now() + fetchRetryDelay;
            if (const OwnState state = m_delegate.ownState(); !state.isComplete && !state.isStoreConnected) {
                lookForSourceAfter(startupLookDelay(m_random));
            }
            if (snapshot.error().code == ResultCode::PeerMessageMalformed) {
                reject(RejectReason::Snapshot, address);
            }
            return;
        }
        try {
            m_delegate.onSnapshot(*snapshot);
        } catch (const std::exception &) {
            m_earliestFetch = m_loop.now() + fetchRetryDelay;
            reject(RejectReason::Failed, address);
        }
    });
    m_call->start(from.address);
}

} // namespace magnolia::fleet
