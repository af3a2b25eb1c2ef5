// The known placements and the load they make.
#include "placement/board.h"

#include "placement/types/workestimate.h"

#include <algorithm>

namespace magnolia::placement
{

namespace
{

/** A read that should have ended is taken to need this share of its time still. */
constexpr double overdueShare = 0.1;

struct PendingRead
{
    MonoTime placedAt;
    double partMs = 0;
};

double toMs(MonoTime::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/** Reads run one after the other in the order of their placing. */
double backlogMs(std::vector<PendingRead> &reads, MonoTime freeSince, MonoTime now)
{
    std::sort(reads.begin(), reads.end(), [](const PendingRead &a, const PendingRead &b) {
        return a.placedAt < b.placedAt;
    });
    // Relative to now; a read in progress began in the past.
    double cursor = toMs(freeSince - now);
    for (const PendingRead &it : reads) {
        const double begin = std::max(cursor, toMs(it.placedAt - now));
        cursor = std::max(begin + it.partMs, it.partMs * overdueShare);
    }
    return std::max(cursor, 0.0);
}

} // namespace

void Board::put(const std::string &owner, const Placement &placement)
{
    m_entries[placement.id] = Entry{owner, placement};
}

void Board::noteReadEnd(const Placement &placement, MonoTime now)
{
    if (placement.isWriting) {
        return;
    }
    m_lastReadEnd[placement.primary] = now;
    for (const UpstreamKey helper : placement.helpers) {
        m_lastReadEnd[helper] = now;
    }
}

void Board::setWriting(PlacementId id, MonoTime now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end()) {
        noteReadEnd(it->second.placement, now);
        it->second.placement.isWriting = true;
    }
}

void Board::remove(PlacementId id, MonoTime now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end()) {
        noteReadEnd(it->second.placement, now);
        m_entries.erase(it);
    }
}

void Board::replaceAll(const std::string &owner, const std::vector<Placement> &placements, MonoTime now)
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
        const auto known = m_entries.find(it.id);
        if (known == m_entries.end()) {
            put(owner, it);
        } else if (it.isWriting && !known->second.placement.isWriting) {
            setWriting(it.id, now);
        }
    }
}

void Board::forgetOwner(const std::string &owner, MonoTime now)
{
    replaceAll(owner, {}, now);
}

std::vector<Placement> Board::placementsOf(const std::string &owner) const
{
    std::vector<Placement> found;
    for (const auto &[id, entry] : m_entries) {
        if (entry.owner == owner) {
            found.push_back(entry.placement);
        }
    }
    return found;
}

const Placement *Board::find(PlacementId id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.placement;
}

std::size_t Board::size() const
{
    return m_entries.size();
}

std::unordered_map<UpstreamKey, UpstreamLoad> Board::loads(MonoTime now, const ReadCost &partMs) const
{
    std::unordered_map<UpstreamKey, UpstreamLoad> loads;
    std::unordered_map<UpstreamKey, std::vector<PendingRead>> reads;
    for (const auto &[id, entry] : m_entries) {
        const Placement &it = entry.placement;
        UpstreamLoad &primary = loads[it.primary];
        ++primary.requests;
        const double elsewhere = it.ticketTokens * static_cast<double>(it.helpers.size());
        primary.memoryTokens += std::max(it.promptTokens - elsewhere, 0.0) + it.outputTokens;
        for (const UpstreamKey helper : it.helpers) {
            loads[helper].memoryTokens += it.ticketTokens;
        }
        if (it.isWriting) {
            primary.writers.push_back({it.gapTarget, worthOf(it.promptTokens, it.outputTokens)});
            primary.writerContextTokens += it.promptTokens;
            continue;
        }
        const double part = partMs(it);
        ++primary.reads;
        reads[it.primary].push_back({it.placedAt, part});
        for (const UpstreamKey helper : it.helpers) {
            ++loads[helper].helping;
            reads[helper].push_back({it.placedAt, part});
        }
    }
    for (auto &[key, list] : reads) {
        const auto end = m_lastReadEnd.find(key);
        loads[key].readBacklogMs = backlogMs(list, end == m_lastReadEnd.end() ? MonoTime{} : end->second, now);
    }
    return loads;
}

} // namespace magnolia::placement
