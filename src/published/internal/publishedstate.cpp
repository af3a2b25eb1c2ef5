// Implements the published state.
#include "published/publishedstate.h"

#include "framework/logging/log.h"

#include <algorithm>
#include <utility>

namespace magnolia::published
{

namespace
{

/** Removed keys that are remembered, so that an outdated item from a peer does not restore one. */
constexpr std::size_t maxRemovedKeys = 4096;
/** Ends of evacuations that are remembered for the same reason; the earliest is forgotten first. */
constexpr std::size_t maxEvacuationEnds = 256;

} // namespace

void PublishedState::ChangeFlags::add(const ChangeFlags &other)
{
    hasNewConfiguration = hasNewConfiguration || other.hasNewConfiguration;
    hasChangedUpstreams = hasChangedUpstreams || other.hasChangedUpstreams;
    hasColdUpstreams = hasColdUpstreams || other.hasColdUpstreams;
    hasChangedEvacuations = hasChangedEvacuations || other.hasChangedEvacuations;
}

PublishedState::PublishedState(const IItemDecoder &decoder, PublishedStateParameters parameters)
    : m_decoder(decoder)
    , m_parameters(parameters)
{
}

PublishedState::ChangeFlags PublishedState::apply(const StoreItem &item, MonoTime now)
{
    if (m_decoder.kindOf(item.key) == IItemDecoder::ItemKind::Upstream && !item.isDeleted && isKnownAsAbsent(item)) {
        return {};
    }
    return applyItem(item, now);
}

bool PublishedState::isKnownAsAbsent(const StoreItem &item) const
{
    return m_completePosition && item.era == m_completePosition->era && item.position() <= *m_completePosition
        && !m_upstreams.contains(item.key);
}

PublishedState::ChangeFlags PublishedState::applyItem(const StoreItem &item, MonoTime now)
{
    m_position = std::max(m_position, item.position());
    switch (m_decoder.kindOf(item.key)) {
    case IItemDecoder::ItemKind::Configuration:
        return item.isDeleted ? ChangeFlags{} : applyConfiguration(item);
    case IItemDecoder::ItemKind::Upstream:
        return item.isDeleted ? removeUpstream(item.key, item.position(), now) : applyUpstream(item, now);
    case IItemDecoder::ItemKind::Evacuation:
        return applyEvacuation(m_decoder.evacuatedDataCentre(item.key), item.position(), item.isDeleted, now);
    case IItemDecoder::ItemKind::Other:
        break;
    }
    return {};
}

PublishedState::ChangeFlags PublishedState::applyConfiguration(const StoreItem &item)
{
    if (m_configurationItem && item.era == m_configurationItem->era && item.revision <= m_configurationItem->revision) {
        return {};
    }
    // Versions order configurations across eras: an older copy of the store may have a lower one.
    auto decoded = m_decoder.decodeConfiguration(item);
    if (!decoded || (m_configuration && decoded->version <= m_configuration->version)) {
        return {};
    }
    m_configuration = std::make_shared<const catalogue::Catalogue>(std::move(*decoded));
    m_configurationItem = item;
    return {true, false};
}

bool PublishedState::isRestored(const StoreItem &item, const catalogue::UpstreamEntry &entry) const
{
    const auto removal = m_removals.find(item.key);
    if (removal == m_removals.end() || removal->second.position.era >= item.era
        || removal->second.startedAt != entry.startedAt) {
        return false;
    }
    const auto restored = m_restored.find(item.key);
    return restored == m_restored.end() || item.position() <= restored->second.item.position();
}

PublishedState::ChangeFlags PublishedState::applyUpstream(const StoreItem &item, MonoTime now)
{
    const auto removal = m_removals.find(item.key);
    if (removal != m_removals.end() && item.position() <= removal->second.position) {
        return {};
    }
    const auto known = m_upstreams.find(item.key);
    const bool isOutdated = known != m_upstreams.end()
        && (item.position() < known->second.item.position()
            || (known->second.removeAt && item.position() <= known->second.missingAt));
    if (isOutdated) {
        return {};
    }
    auto entry = m_decoder.decodeUpstream(item);
    if (!entry) {
        // An unreadable entry removes its upstream.
        return removeUpstream(item.key, item.position(), now);
    }
    if (known != m_upstreams.end()) {
        UpstreamRecord &record = known->second;
        if (item.era > record.item.era && entry->startedAt < record.entry.startedAt) {
            // An older copy of the store has an earlier run.
            return {};
        }
        // Within one run an upstream that leaves never comes back, whatever an outdated item says.
        entry->isLeaving = entry->isLeaving || (record.entry.isLeaving && record.entry.startedAt == entry->startedAt);
        // The cold time is counted from when an entry is seen first. Each heartbeat of a cold upstream states a lower
        // one, which is no change for peers.
        const bool isSeenFirst = record.item.position() < item.position();
        const bool isCold = isSeenFirst && entry->coldRemaining > Milliseconds{0};
        const MonoTime coldUntil = isCold ? std::max(record.coldUntil, now + entry->coldRemaining) : record.coldUntil;
        record.entry.coldRemaining = entry->coldRemaining;
        const bool isNew = !(record.entry == *entry) || record.removeAt;
        record = UpstreamRecord{std::move(*entry), item, std::nullopt, {}, coldUntil};
        return {false, isNew, isCold};
    }
    if (isRestored(item, *entry)) {
        m_restored.emplace(item.key, RestoredItem{item, now + m_parameters.restoredEntryDelay});
        return {};
    }
    m_restored.erase(item.key);
    const bool isCold = entry->coldRemaining > Milliseconds{0};
    const MonoTime coldUntil = isCold ? now + entry->coldRemaining : MonoTime{};
    m_upstreams.emplace(item.key, UpstreamRecord{std::move(*entry), item, std::nullopt, {}, coldUntil});
    return {false, true, isCold};
}

PublishedState::ChangeFlags PublishedState::removeUpstream(
    const std::string &key, const StorePosition &position, MonoTime now)
{
    const auto known = m_upstreams.find(key);
    if (known != m_upstreams.end() && position < known->second.item.position()) {
        return {};
    }
    if (known != m_upstreams.end() && now < m_leaseGraceUntil && !known->second.entry.isLeaving) {
        if (!known->second.removeAt) {
            known->second.removeAt = m_leaseGraceUntil;
            logging::write(logging::Level::Info, "published", "removal_delayed",
                {{"item", std::string_view(key)}, {"revision", position.revision},
                    {"delay_ms", std::int64_t{toMilliseconds(m_leaseGraceUntil - now).count()}}});
        }
        known->second.missingAt = std::max(known->second.missingAt, position);
        return {};
    }
    m_restored.erase(key);
    recordRemoval(key, position, known == m_upstreams.end() ? 0 : known->second.entry.startedAt);
    return {false, m_upstreams.erase(key) > 0};
}

void PublishedState::recordRemoval(const std::string &key, const StorePosition &position, std::uint64_t startedAt)
{
    if (m_removals.size() >= maxRemovedKeys) {
        m_removals.erase(m_removals.begin());
    }
    Removal &removal = m_removals[key];
    removal.position = std::max(removal.position, position);
    removal.startedAt = std::max(removal.startedAt, startedAt);
}

PublishedState::ChangeFlags PublishedState::applyAll(
    const std::vector<StoreItem> &items, const StorePosition &position, MonoTime now)
{
    ChangeFlags flags;
    std::set<std::string> present;
    for (const StoreItem &item : items) {
        present.insert(item.key);
        flags.add(applyItem(item, now));
    }
    std::vector<std::string> missing;
    for (const auto &[key, record] : m_upstreams) {
        if (!present.contains(key) && record.item.position() <= position) {
            missing.push_back(key);
        }
    }
    for (const std::string &key : missing) {
        flags.add(removeUpstream(key, position, now));
    }
    flags.add(endMissingEvacuations(present, position, now));
    m_readPosition = std::max(m_readPosition.value_or(position), position);
    setComplete(position);
    return flags;
}

PublishedState::ChangeFlags PublishedState::applyEvacuation(
    const DataCentreId &dataCentre, const StorePosition &position, bool isEnded, MonoTime now)
{
    if (isEnded) {
        return endEvacuation(dataCentre, position);
    }
    const auto end = m_evacuationEnds.find(dataCentre);
    if (end != m_evacuationEnds.end() && position <= end->second) {
        return {};
    }
    const auto known = m_evacuations.find(dataCentre);
    if (known != m_evacuations.end()) {
        if (position > known->second.position) {
            const bool isStillMissing = known->second.endsAt && position <= known->second.missingAt;
            known->second.position = position;
            if (!isStillMissing) {
                known->second.endsAt.reset();
            }
        }
        return {};
    }
    Evacuation evacuation{position, std::nullopt, {}};
    if (m_readPosition && position <= *m_readPosition) {
        if (position.era == m_readPosition->era) {
            // The item was deleted before this instance read the store.
            return {};
        }
        evacuation.endsAt = now + m_parameters.lostEvacuationHold;
        evacuation.missingAt = *m_readPosition;
    }
    m_evacuations.emplace(dataCentre, evacuation);
    ChangeFlags flags;
    flags.hasChangedEvacuations = true;
    return flags;
}

PublishedState::ChangeFlags PublishedState::endEvacuation(const DataCentreId &dataCentre, const StorePosition &position)
{
    const auto known = m_evacuations.find(dataCentre);
    if (known != m_evacuations.end() && position < known->second.position) {
        return {};
    }
    StorePosition &end = m_evacuationEnds[dataCentre];
    end = std::max(end, position);
    if (m_evacuationEnds.size() > maxEvacuationEnds) {
        m_evacuationEnds.erase(
            std::min_element(m_evacuationEnds.begin(), m_evacuationEnds.end(), [](const auto &a, const auto &b) {
                return a.second < b.second;
            }));
    }
    ChangeFlags flags;
    flags.hasChangedEvacuations = m_evacuations.erase(dataCentre) > 0;
    return flags;
}

PublishedState::ChangeFlags PublishedState::endMissingEvacuations(
    const std::set<std::string> &present, const StorePosition &position, MonoTime now)
{
    std::vector<DataCentreId> ended;
    for (auto &[dataCentre, it] : m_evacuations) {
        if (present.contains(m_decoder.evacuationKey(dataCentre)) || it.position > position) {
            continue;
        }
        if (it.position.era == position.era) {
            ended.push_back(dataCentre);
        } else if (!it.endsAt) {
            it.endsAt = now + m_parameters.lostEvacuationHold;
            it.missingAt = position;
        }
    }
    ChangeFlags flags;
    for (const DataCentreId &dataCentre : ended) {
        flags.add(endEvacuation(dataCentre, position));
    }
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
            recordRemoval(
                it->first, std::max(it->second.missingAt, it->second.item.position()), it->second.entry.startedAt);
            it = m_upstreams.erase(it);
            flags.hasChangedUpstreams = true;
        } else {
            ++it;
        }
    }
    std::vector<std::pair<DataCentreId, StorePosition>> lostEvacuations;
    for (const auto &[dataCentre, it] : m_evacuations) {
        if (it.endsAt && now >= *it.endsAt) {
            lostEvacuations.emplace_back(dataCentre, it.missingAt);
        }
    }
    for (const auto &[dataCentre, position] : lostEvacuations) {
        flags.add(endEvacuation(dataCentre, position));
    }
    for (auto it = m_restored.begin(); it != m_restored.end();) {
        if (now < it->second.usableFrom) {
            ++it;
            continue;
        }
        const StoreItem item = std::move(it->second.item);
        it = m_restored.erase(it);
        m_removals.erase(item.key);
        flags.add(applyUpstream(item, now));
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

const std::map<DataCentreId, PublishedState::Evacuation> &PublishedState::evacuations() const
{
    return m_evacuations;
}

std::vector<PublishedState::EvacuationEnd> PublishedState::endedEvacuations() const
{
    std::vector<EvacuationEnd> ends;
    ends.reserve(m_evacuationEnds.size());
    for (const auto &[dataCentre, position] : m_evacuationEnds) {
        if (!m_evacuations.contains(dataCentre)) {
            ends.push_back({dataCentre, position});
        }
    }
    std::sort(ends.begin(), ends.end(), [](const EvacuationEnd &a, const EvacuationEnd &b) {
        return a.position > b.position;
    });
    return ends;
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
    for (const auto &[key, removal] : m_removals) {
        items.push_back(StoreItem{key, {}, removal.position.revision, true, removal.position.era});
    }
    for (const auto &[dataCentre, it] : m_evacuations) {
        items.push_back(
            StoreItem{m_decoder.evacuationKey(dataCentre), "{}", it.position.revision, false, it.position.era});
    }
    for (const EvacuationEnd &it : endedEvacuations()) {
        items.push_back(
            StoreItem{m_decoder.evacuationKey(it.dataCentre), {}, it.position.revision, true, it.position.era});
    }
    return items;
}

StorePosition PublishedState::position() const
{
    return m_position;
}

bool PublishedState::isComplete() const
{
    return m_completePosition.has_value();
}

void PublishedState::setComplete(const StorePosition &position)
{
    m_position = std::max(m_position, position);
    m_completePosition = std::max(m_completePosition.value_or(position), position);
}

} // namespace magnolia::published
