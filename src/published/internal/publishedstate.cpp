// The newest of what is published.
#include "published/publishedstate.h"

#include <algorithm>
#include <set>

namespace magnolia::published
{

namespace
{

/** Removed keys are remembered for this many, so that an old word from a peer does not bring one back. */
constexpr std::size_t mostRemoved = 4096;

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
        return item.isDeleted ? lose(item.key, item.revision, now) : applyUpstream(item, now);
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
    const auto removed = m_removed.find(item.key);
    if (removed != m_removed.end() && item.revision <= removed->second) {
        return {};
    }
    const auto known = m_upstreams.find(item.key);
    if (known != m_upstreams.end() && item.revision < known->second.item.revision) {
        return {};
    }
    auto entry = m_decoder.decodeUpstream(item);
    if (!entry) {
        // An entry that cannot be read names no upstream to use.
        return lose(item.key, item.revision, now);
    }
    if (known != m_upstreams.end()) {
        UpstreamRecord &held = known->second;
        // Within one incarnation leaving is for good, whatever an older word says.
        entry->isLeaving = entry->isLeaving || (held.entry.isLeaving && held.entry.startedAt == entry->startedAt);
        const bool isNew = !(held.entry == *entry) || held.removeAt;
        held = UpstreamRecord{std::move(*entry), item, std::nullopt};
        return {false, isNew};
    }
    m_upstreams.emplace(item.key, UpstreamRecord{std::move(*entry), item, std::nullopt});
    return {false, true};
}

PublishedState::ChangeFlags PublishedState::lose(const std::string &key, std::uint64_t revision, MonoTime now)
{
    const auto known = m_upstreams.find(key);
    if (known != m_upstreams.end() && revision < known->second.item.revision) {
        return {};
    }
    if (known != m_upstreams.end() && now < m_holdUntil && !known->second.entry.isLeaving) {
        if (!known->second.removeAt) {
            known->second.removeAt = m_holdUntil;
        }
        return {};
    }
    if (m_removed.size() >= mostRemoved) {
        m_removed.erase(m_removed.begin());
    }
    m_removed[key] = std::max(m_removed[key], revision);
    return {false, m_upstreams.erase(key) > 0};
}

PublishedState::ChangeFlags PublishedState::applyAll(
    const std::vector<StoreItem> &items, std::uint64_t revision, MonoTime now)
{
    ChangeFlags effect;
    std::set<std::string> present;
    for (const StoreItem &item : items) {
        present.insert(item.key);
        effect.add(apply(item, now));
    }
    std::vector<std::string> missing;
    for (const auto &[key, held] : m_upstreams) {
        if (!present.contains(key) && held.item.revision <= revision) {
            missing.push_back(key);
        }
    }
    for (const std::string &key : missing) {
        effect.add(lose(key, revision, now));
    }
    m_revision = std::max(m_revision, revision);
    m_isComplete = true;
    return effect;
}

void PublishedState::onStoreReconnected(MonoTime now)
{
    m_holdUntil = now + m_parameters.lapseHold;
}

PublishedState::ChangeFlags PublishedState::removeExpired(MonoTime now)
{
    ChangeFlags effect;
    for (auto it = m_upstreams.begin(); it != m_upstreams.end();) {
        if (it->second.removeAt && now >= *it->second.removeAt) {
            m_removed[it->first] = std::max(m_removed[it->first], it->second.item.revision);
            it = m_upstreams.erase(it);
            effect.hasChangedUpstreams = true;
        } else {
            ++it;
        }
    }
    return effect;
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
    for (const auto &[key, held] : m_upstreams) {
        items.push_back(held.item);
    }
    for (const auto &[key, revision] : m_removed) {
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
