// The known placements and the load they make.
#include "placement/placementtable.h"

#include "placement/types/workestimate.h"

#include <algorithm>

namespace magnolia::placement
{

namespace
{

/** A prompt that should have been read is taken to need this share of its time still. */
constexpr double overdueShare = 0.05;

double toMs(MonoTime::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

PlacementTable::PlacementTable(PrefillCost partMs)
    : m_partMs(std::move(partMs))
{
}

void PlacementTable::put(const std::string &owner, const Placement &placement, MonoTime now)
{
    remove(placement.id, now);
    Entry &entry = m_entries[placement.id];
    entry = Entry{owner, placement, m_partMs(placement)};
    if (placement.isDecoding) {
        return;
    }
    enqueue(placement.primary, entry, false, now);
    for (const UpstreamKey helper : placement.helpers) {
        enqueue(helper, entry, true, now);
    }
}

void PlacementTable::enqueue(UpstreamKey upstream, const Entry &entry, bool isHelper, MonoTime now)
{
    ReadQueue &queue = m_queues[upstream];
    play(queue, now);
    // What is told late may have been read in part.
    const double age = std::max(0.0, toMs(now - entry.placement.placedAt));
    const double left = std::max(entry.partMs - age, entry.partMs * overdueShare);
    const Read read{entry.placement.id, isHelper, left};
    const auto place = isHelper ? std::find_if(queue.reads.begin(), queue.reads.end(),
                           [](const Read &it) {
                               return !it.isHelper;
                           })
                                : queue.reads.end();
    queue.reads.insert(place, read);
}

void PlacementTable::dequeue(const Placement &placement, MonoTime now)
{
    const auto drop = [&](UpstreamKey upstream) {
        const auto it = m_queues.find(upstream);
        if (it == m_queues.end()) {
            return;
        }
        play(it->second, now);
        std::erase_if(it->second.reads, [&](const Read &read) {
            return read.id == placement.id;
        });
        if (it->second.reads.empty()) {
            m_queues.erase(it);
        }
    };
    drop(placement.primary);
    for (const UpstreamKey helper : placement.helpers) {
        drop(helper);
    }
}

void PlacementTable::play(ReadQueue &queue, MonoTime now) const
{
    double elapsed = std::max(0.0, toMs(now - queue.playedTo));
    queue.playedTo = std::max(queue.playedTo, now);
    for (Read &it : queue.reads) {
        if (elapsed <= 0) {
            break;
        }
        const auto entry = m_entries.find(it.id);
        const double whole = entry == m_entries.end() ? 0 : entry->second.partMs;
        // Nobody tells when a part was read, but the first event tells it of a whole prompt.
        const double least = it.isHelper ? 0 : whole * overdueShare;
        const double done = std::min(elapsed, std::max(0.0, it.leftMs - least));
        it.leftMs -= done;
        // While a prompt's first event is missing, the engine has not gone on to the next.
        elapsed = it.isHelper ? elapsed - done : 0;
    }
    std::erase_if(queue.reads, [](const Read &it) {
        return it.isHelper && it.leftMs <= 0;
    });
}

void PlacementTable::setDecoding(PlacementId id, MonoTime now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end() && !it->second.placement.isDecoding) {
        dequeue(it->second.placement, now);
        it->second.placement.isDecoding = true;
    }
}

void PlacementTable::remove(PlacementId id, MonoTime now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end()) {
        dequeue(it->second.placement, now);
        m_entries.erase(it);
    }
}

void PlacementTable::replaceAll(const std::string &owner, const std::vector<Placement> &placements, MonoTime now)
{
    std::unordered_map<PlacementId, const Placement *> told;
    for (const Placement &it : placements) {
        told[it.id] = &it;
    }
    std::vector<PlacementId> gone;
    for (const auto &[id, entry] : m_entries) {
        if (entry.owner == owner && !told.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const PlacementId id : gone) {
        remove(id, now);
    }
    for (const Placement &it : placements) {
        if (!m_entries.contains(it.id)) {
            put(owner, it, now);
        } else if (it.isDecoding) {
            setDecoding(it.id, now);
        }
    }
}

void PlacementTable::removeOwner(const std::string &owner, MonoTime now)
{
    replaceAll(owner, {}, now);
}

std::vector<Placement> PlacementTable::placementsOf(const std::string &owner) const
{
    std::vector<Placement> found;
    for (const auto &[id, entry] : m_entries) {
        if (entry.owner == owner) {
            found.push_back(entry.placement);
        }
    }
    return found;
}

const Placement *PlacementTable::find(PlacementId id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.placement;
}

std::size_t PlacementTable::size() const
{
    return m_entries.size();
}

int PlacementTable::requestsOf(UpstreamKey upstream) const
{
    return static_cast<int>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto &it) {
        return it.second.placement.primary == upstream;
    }));
}

std::unordered_map<UpstreamKey, PlacementLoad> PlacementTable::loads(MonoTime now)
{
    std::unordered_map<UpstreamKey, PlacementLoad> loads;
    for (const auto &[id, entry] : m_entries) {
        const Placement &it = entry.placement;
        PlacementLoad &primary = loads[it.primary];
        ++primary.requests;
        primary.waitingLate += it.isLate && !it.isDecoding ? 1 : 0;
        const double elsewhere = it.ticketTokens * static_cast<double>(it.helpers.size());
        primary.usedKvTokens += std::max(it.promptTokens - elsewhere, 0.0) + it.outputTokens;
        for (const UpstreamKey helper : it.helpers) {
            loads[helper].usedKvTokens += it.ticketTokens;
            loads[helper].helperPrefills += it.isDecoding ? 0 : 1;
        }
        if (it.isDecoding) {
            primary.decodingRequests.push_back({it.gapTarget, worthOf(it.promptTokens, it.outputTokens)});
            primary.decodeContextTokens += it.promptTokens;
        }
    }
    for (auto &[key, queue] : m_queues) {
        play(queue, now);
        PlacementLoad &load = loads[key];
        double backlog = 0;
        for (const Read &read : queue.reads) {
            backlog += read.leftMs;
            load.longestPrefillTokens
                = std::max(load.longestPrefillTokens, m_entries.at(read.id).placement.promptTokens);
            if (read.isHelper) {
                load.helperBacklogMs = backlog;
                continue;
            }
            const Placement &it = m_entries.at(read.id).placement;
            const double due = toMs(it.placedAt + it.firstEventTarget - now);
            load.pendingPrefills.push_back({worthOf(it.promptTokens, it.outputTokens), due - backlog, it.gapTarget});
        }
        load.backlogMs = backlog;
    }
    return loads;
}

} // namespace magnolia::placement
