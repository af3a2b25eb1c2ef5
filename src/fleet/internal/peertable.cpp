// Implements the table of peers.
#include "fleet/peertable.h"

#include "framework/global/hashing.h"

#include <algorithm>
#include <set>

namespace magnolia::fleet
{

bool Peer::hasCapability(Capability capability) const
{
    return (capabilities & static_cast<std::uint64_t>(capability)) != 0;
}

PeerTable::PeerTable(
    std::string self, PeerAddress ownAddress, std::vector<PeerAddress> seeds, PeerTableParameters parameters)
    : m_self(std::move(self))
    , m_ownAddress(std::move(ownAddress))
    , m_seeds(std::move(seeds))
    , m_parameters(parameters)
{
}

PeerTable::UpdateResult PeerTable::update(const PeerMessage &message, MonoTime now)
{
    if (message.instance.empty() || message.instance == m_self || message.address == m_ownAddress) {
        return UpdateResult::Ignored;
    }
    const auto known = m_peers.find(message.instance);
    if (message.callerAddress.empty()) {
        return updateFromIncrement(message, now);
    }
    if (known == m_peers.end() && m_peers.size() >= m_parameters.maxPeers) {
        return UpdateResult::Ignored;
    }
    const bool isNew = known == m_peers.end() || message.incarnation > known->second.incarnation;
    if (!isNew && (message.incarnation < known->second.incarnation || message.sequence <= known->second.sequence)) {
        return UpdateResult::Ignored;
    }
    if (known == m_peers.end()) {
        m_instanceByHash[stableHash(message.instance)] = message.instance;
    }
    Peer &peer = m_peers[message.instance];
    // Within one run a peer that leaves never comes back.
    const bool isLeaving = message.isLeaving || (!isNew && peer.isLeaving);
    const std::uint64_t capabilities = isNew ? 0 : peer.capabilities;
    const std::uint64_t extensionSequence = isNew ? 0 : peer.extensionSequence;
    peer = Peer{message.instance, message.dataCentre, message.incarnation, message.sequence, message.address,
        message.callerAddress, message.relayAddress, message.isReady, isLeaving, message.isPartitioned,
        message.configurationVersion, message.storePosition, now, false, capabilities, extensionSequence};
    for (const PeerAddress &it : message.peers) {
        if (it != m_ownAddress && m_reportedAddresses.size() < m_parameters.maxPeers) {
            m_reportedAddresses[it] = now;
        }
    }
    return isNew ? UpdateResult::NewIncarnation : UpdateResult::Updated;
}

/** An incremental message lacks the address of its sender, so it counts only for a run that is already known. */
PeerTable::UpdateResult PeerTable::updateFromIncrement(const PeerMessage &message, MonoTime now)
{
    const auto known = m_peers.find(message.instance);
    if (known == m_peers.end() || message.incarnation != known->second.incarnation
        || message.sequence <= known->second.sequence) {
        return UpdateResult::Ignored;
    }
    Peer &peer = known->second;
    peer.sequence = message.sequence;
    peer.isReady = message.isReady;
    peer.isLeaving = peer.isLeaving || message.isLeaving;
    peer.isPartitioned = message.isPartitioned;
    peer.configurationVersion = message.configurationVersion;
    peer.storePosition = message.storePosition;
    peer.lastHeardAt = now;
    peer.isSuspected = false;
    return UpdateResult::Updated;
}

void PeerTable::recordProbe(const ProbeMessage &message, MonoTime now)
{
    const auto known = m_peers.find(message.instance);
    if (known == m_peers.end() || known->second.incarnation != message.incarnation) {
        return;
    }
    Peer &peer = known->second;
    peer.lastHeardAt = now;
    peer.isSuspected = false;
    // Neither goes back within one run; an earlier datagram may arrive later.
    peer.configurationVersion = std::max(peer.configurationVersion, message.configurationVersion);
    peer.storePosition = std::max(peer.storePosition, message.storePosition);
}

bool PeerTable::recordExtension(const ExtensionMessage &message)
{
    const auto known = m_peers.find(message.instance);
    if (known == m_peers.end() || known->second.incarnation != message.incarnation
        || message.sequence <= known->second.extensionSequence) {
        return false;
    }
    known->second.capabilities = message.capabilities;
    known->second.extensionSequence = message.sequence;
    return true;
}

bool PeerTable::suspect(const std::string &instance, std::uint64_t incarnation, MonoTime failedAt)
{
    const auto known = m_peers.find(instance);
    if (known == m_peers.end() || known->second.incarnation != incarnation || known->second.isSuspected
        || known->second.lastHeardAt > failedAt) {
        return false;
    }
    known->second.isSuspected = true;
    return true;
}

void PeerTable::prune(MonoTime now)
{
    std::erase_if(m_peers, [&](const auto &it) {
        return now - it.second.lastHeardAt >= m_parameters.forgetAfter;
    });
    std::erase_if(m_instanceByHash, [&](const auto &it) {
        return !m_peers.contains(it.second);
    });
    std::erase_if(m_reportedAddresses, [&](const auto &it) {
        return now - it.second >= m_parameters.forgetAfter;
    });
}

std::vector<PeerAddress> PeerTable::targets(MonoTime now) const
{
    std::set<PeerAddress> found(m_seeds.begin(), m_seeds.end());
    for (const auto &[name, peer] : m_peers) {
        if (now - peer.lastHeardAt < m_parameters.forgetAfter) {
            found.insert(peer.address);
        }
    }
    // An address reported by a peer is used for a few intervals; by then its owner must have sent a message itself.
    for (const auto &[address, reportedAt] : m_reportedAddresses) {
        if (now - reportedAt < 4 * heartbeatInterval()) {
            found.insert(address);
        }
    }
    found.erase(m_ownAddress);
    return {found.begin(), found.end()};
}

Milliseconds PeerTable::heartbeatInterval() const
{
    const auto count = static_cast<std::int64_t>(m_peers.size());
    return std::max(m_parameters.minHeartbeatInterval, m_parameters.heartbeatIntervalPerPeer * count);
}

bool PeerTable::isSilent(const Peer &peer, MonoTime now) const
{
    if (peer.isSuspected) {
        return true;
    }
    const double limit = m_parameters.silentAfterIntervals * static_cast<double>(heartbeatInterval().count());
    return std::chrono::duration<double, std::milli>(now - peer.lastHeardAt).count() > limit;
}

bool PeerTable::isNameable(const Peer &peer, MonoTime now) const
{
    return peer.isReady && !peer.isLeaving && !isSilent(peer, now)
        && now - peer.lastHeardAt <= m_parameters.maxNamedSilence;
}

std::vector<std::string> PeerTable::callerAddresses(
    MonoTime now, OwnReach reach, const std::function<bool(const Peer &peer)> &isAllowed) const
{
    const bool isContactLost = hasLostContact(now, reach);
    std::vector<std::string> live;
    std::vector<std::string> partitioned;
    for (const auto &[name, peer] : m_peers) {
        const bool isLastResort
            = isContactLost && peer.isReady && !peer.isLeaving && now - peer.lastHeardAt <= m_parameters.forgetAfter;
        if ((isNameable(peer, now) || isLastResort) && (!isAllowed || isAllowed(peer))) {
            (peer.isPartitioned ? partitioned : live).push_back(peer.callerAddress);
        }
    }
    const bool isSelfUsable = reach.isNamed && reach.areUpstreamsReached;
    return live.empty() && !isSelfUsable ? partitioned : live;
}

bool PeerTable::hasSoundPeer(MonoTime now, const std::function<bool(const Peer &peer)> &isAllowed) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &it) {
        const Peer &peer = it.second;
        return isNameable(peer, now) && !peer.isPartitioned && (!isAllowed || isAllowed(peer));
    });
}

bool PeerTable::hasLostContact(MonoTime now, OwnReach reach) const
{
    return !reach.areUpstreamsReached && !reach.isStoreReached && !m_peers.empty()
        && std::all_of(m_peers.begin(), m_peers.end(), [&](const auto &it) {
               return isSilent(it.second, now);
           });
}

const std::map<std::string, Peer> &PeerTable::peers() const
{
    return m_peers;
}

const Peer *PeerTable::findByHash(std::uint64_t instanceHash) const
{
    const auto name = m_instanceByHash.find(instanceHash);
    const auto peer = name == m_instanceByHash.end() ? m_peers.end() : m_peers.find(name->second);
    return peer == m_peers.end() ? nullptr : &peer->second;
}

bool PeerTable::haveAllLivePeers(Capability capability, MonoTime now) const
{
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto &it) {
        return isSilent(it.second, now) || it.second.hasCapability(capability);
    });
}

std::size_t PeerTable::liveInstanceCount(MonoTime now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &it) {
        return !isSilent(it.second, now);
    }));
}

} // namespace magnolia::fleet
