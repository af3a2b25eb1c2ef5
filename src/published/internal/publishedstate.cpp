// Implements the published state.
#include "published/publishedstate.h"

#include <algorithm>
#include <set>

namespace magnolia::published
{

namespace
{

/** Removed keys that are remembered, so that an outdated item from a peer does not restore one. */
constexpr std::size_t maxRemovedKeys = 4096;

} // namespace

void PublishedState::ChangeFlags::add(const ChangeFlags &other)
{
    hasNewConfiguration = hasNewConfiguration || other.hasNewConfiguration;
    hasChangedUpstreams = hasChangedUpstreams || other.hasChangedUpstreams;
}

PublishedState::PublishedState(const IItemDecoder &decoder, PublishedStateParameters parameters)
    : m_decoder(decoder)
    , m_parameters(parameters)
{
}

PublishedState::ChangeFlags PublishedState::apply(const StoreItem &item, MonoTime now)
{
    m_revision = std::max(m_revision, item.revision);
    switch (m_decoder.kindOf(item.key)) {
    case IItemDecoder::ItemKind::Configuration:
        return item.isDeleted ? ChangeFlags{} : applyConfiguration(item);
    case IItemDecoder::ItemKind::Upstream:
        return item.isDeleted ? removeUpstream(item.key, item.revision, now) : applyUpstream(item, now);
    case IItemDecoder::ItemKind::Other:
        break;
    }
    return {};
}

PublishedState::ChangeFlags PublishedState::applyConfiguration(const StoreItem &item)
{
    if (m_configurationItem && item.revision <= m_configurationItem->revision) {
        return {};
    }
    auto decoded = m_decoder.decodeConfiguration(item);
    if (!decoded || (m_configuration && decoded->version <= m_configuration->version)) {
        return {};
    }
    m_configuration = std::make_shared<const catalogue::Catalogue>(std::move(*decoded));
    m_configurationItem = item;
    return {true, false};
}

PublishedState::ChangeFlags PublishedState::applyUpstream(const StoreItem &item, MonoTime now)
{
    const auto knownRemoval = m_removedRevisions.find(item.key);
    if (knownRemoval != m_removedRevisions.end() && item.revision <= knownRemoval->second) {
        return {};
    }
    const auto known = m_upstreams.find(item.key);
    if (known != m_upstreams.end() && item.revision < known->second.item.revision) {
        return {};
    }
    auto entry = m_decoder.decodeUpstream(item);
    if (!entry) {
        // An unreadable entry removes its upstream.
        return removeUpstream(item.key, item.revision, now);
    }
    if (known != m_upstreams.end()) {
        UpstreamRecord &record = known->second;
        // Within one run an upstream that leaves never comes back, whatever an outdated item says.
        entry->isLeaving = entry->isLeaving || (record.entry.isLeaving && record.entry.startedAt == entry->startedAt);
        const bool isNew = !(record.entry == *entry) || record.removeAt;
        record = UpstreamRecord{std::move(*entry), item, std::nullopt};
        return {false, isNew};
    }
    m_upstreams.emplace(item.key, UpstreamRecord{std::move(*entry), item, std::nullopt});
    return {false, true};
}

PublishedState::ChangeFlags PublishedState::removeUpstream(const std::string &key, std::uint64_t revision, MonoTime now)
{
    const auto known = m_upstreams.find(key);
    if (known != m_upstreams.end() && revision < known->second.item.revision) {
        return {};
    }
    if (known != m_upstreams.end() && now < m_leaseGraceUntil && !known->second.entry.isLeaving) {
        if (!known->second.removeAt) {
            known->second.removeAt = m_leaseGraceUntil;
        }
        return {};
    }
    if (m_removedRevisions.size() >= maxRemovedKeys) {
        m_removedRevisions.erase(m_removedRevisions.begin());
    }
    m_removedRevisions[key] = std::max(m_removedRevisions[key], revision);
    return {false, m_upstreams.erase(key) > 0};
}

PublishedState::ChangeFlags PublishedState::applyAll(
    const std::vector<StoreItem> &items, std::uint64_t revision, MonoTime now)
{
    ChangeFlags flags;
    std::set<std::string> present;
    for (const StoreItem &item : items) {
        present.insert(item.key);
        flags.add(apply(item, now));
    }
    std::vector<std::string> missing;
    for (const auto &[key, record] : m_upstreams) {
        if (!present.contains(key) && record.item.revision <= revision) {
            missing.push_back(key);
        }
    }
    for (const std::string &key : missing) {
        flags.add(removeUpstream(key, revision, now));
    }
    m_revision = std::max(m_revision, revision);
    m_isComplete = true;
    return flags;
}

void PublishedState::onStoreReconnected(MonoTime now)
{
    m_leaseGraceUntil = now + m_parameters.leaseGrace;
}

PublishedState::ChangeFlags PublishedState::removeExpired(MonoTime now)
{
    ChangeFlags flags;
    for (auto it = m_upstreams.begin(); it != m_upstreams.end();) {
        if (it->second.removeAt && now >= *it->second.removeAt) {
            m_removedRevisions[it->first] = std::max(m_removedRevisions[it->first], it->second.item.revision);
            it = m_upstreams.erase(it);
            flags.hasChangedUpstreams = true;
        } else {
            ++it;
        }
    }
    return flags;
}

std::shared_ptr<const catalogue::Catalogue> PublishedState::configuration() const
{
    return m_configuration;
}

const std::map<std::string, PublishedState::UpstreamRecord> &PublishedState::upstreams() const
{
    return m_upstreams;
}

std::vector<StoreItem> PublishedState::items() const
{
    std::vector<StoreItem> items;
    items.reserve(m_upstreams.size() + 1);
    if (m_configurationItem) {
        items.push_back(*m_configurationItem);
    }
    for (const auto &[key, record] : m_upstreams) {
        items.push_back(record.item);
    }
    for (const auto &[key, revision] : m_removedRevisions) {
        items.push_back(StoreItem{key, {}, revision, true});
    }
    return items;
}

std::uint64_t PublishedState::revision() const
{
    return m_revision;
}

bool PublishedState::isComplete() const
{
    return m_isComplete;
}

void PublishedState::setComplete(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
    m_isComplete = true;
}

} // namespace magnolia::published
