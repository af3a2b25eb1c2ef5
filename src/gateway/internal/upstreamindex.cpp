// Indexes upstreams by service and by key.
#include "gateway/internal/upstreamindex.h"

#include "framework/global/hashing.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace magnolia::gateway
{

namespace
{

/** Runs of upstreams that have stated that they leave; beyond this, those that are not published are forgotten. */
constexpr std::size_t maxLeavingRuns = 4096;

} // namespace

placement::UpstreamKey UpstreamIndex::keyOf(const UpstreamId &id)
{
    return stableHash(id.value());
}

UpstreamIndex::Difference UpstreamIndex::rebuild(
    const std::map<std::string, published::PublishedState::UpstreamRecord> &records, const DataCentreId &ownDataCentre)
{
    ++m_generation;
    m_byService.clear();
    const auto previous = std::exchange(m_byKey, {});
    for (const auto &[name, it] : records) {
        KnownUpstream knownUpstream{
            keyOf(it.entry.id), it.entry, Milliseconds(it.entry.dataCentre == ownDataCentre ? 0 : 1)};
        const auto leaving = m_leavingRuns.find(knownUpstream.key);
        knownUpstream.entry.isLeaving
            = it.entry.isLeaving || (leaving != m_leavingRuns.end() && leaving->second == it.entry.startedAt);
        m_byService[it.entry.service].push_back(knownUpstream);
        m_byKey[knownUpstream.key] = knownUpstream;
    }
    // A registration may lapse and come back while the upstream lives.
    if (m_leavingRuns.size() > maxLeavingRuns) {
        std::erase_if(m_leavingRuns, [this](const auto &it) {
            return !m_byKey.contains(it.first);
        });
    }
    for (auto &[service, list] : m_byService) {
        std::sort(list.begin(), list.end(), [](const KnownUpstream &a, const KnownUpstream &b) {
            return a.key < b.key;
        });
    }
    return differenceFrom(previous);
}

UpstreamIndex::Difference UpstreamIndex::differenceFrom(
    const std::unordered_map<placement::UpstreamKey, KnownUpstream> &previous) const
{
    Difference difference;
    for (const auto &[key, it] : m_byKey) {
        const auto before = previous.find(key);
        if (before == previous.end()) {
            difference.added.push_back(it.entry.id.value());
        } else if (it.entry.isLeaving && !before->second.entry.isLeaving) {
            difference.nowLeaving.push_back(it.entry.id.value());
        }
    }
    for (const auto &[key, it] : previous) {
        if (!m_byKey.contains(key)) {
            difference.removed.push_back(it.entry.id.value());
        }
    }
    return difference;
}

bool UpstreamIndex::markLeaving(placement::UpstreamKey key, std::uint64_t startedAt)
{
    const auto known = m_byKey.find(key);
    if (known == m_byKey.end() || known->second.entry.startedAt != startedAt || known->second.entry.isLeaving) {
        return false;
    }
    ++m_generation;
    m_leavingRuns[key] = startedAt;
    known->second.entry.isLeaving = true;
    for (KnownUpstream &it : m_byService[known->second.entry.service]) {
        it.entry.isLeaving = it.entry.isLeaving || it.key == key;
    }
    return true;
}

const std::vector<KnownUpstream> &UpstreamIndex::ofService(const std::string &service) const
{
    static const std::vector<KnownUpstream> none;
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? none : it->second;
}

const KnownUpstream *UpstreamIndex::find(placement::UpstreamKey key) const
{
    const auto it = m_byKey.find(key);
    return it == m_byKey.end() ? nullptr : &it->second;
}

const std::unordered_map<placement::UpstreamKey, KnownUpstream> &UpstreamIndex::all() const
{
    return m_byKey;
}

std::uint64_t UpstreamIndex::generation() const
{
    return m_generation;
}

std::string UpstreamIndex::idOf(placement::UpstreamKey key) const
{
    if (const KnownUpstream *knownUpstream = find(key)) {
        return knownUpstream->entry.id.value();
    }
    std::array<char, 20> buffer{};
    const auto [end, ec] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), key, 16);
    return {buffer.data(), end};
}

std::size_t UpstreamIndex::size() const
{
    return m_byKey.size();
}

} // namespace magnolia::gateway
