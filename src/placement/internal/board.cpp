// The known placements and the load they make.
#include "placement/board.h"

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

Board::Board(ReadCost partMs)
    : m_partMs(std::move(partMs))
{
}

void Board::put(const std::string &owner, const Placement &placement, MonoTime now)
{
    remove(placement.id, now);
    Entry &entry = m_entries[placement.id];
    entry = Entry{owner, placement, m_partMs(placement)};
    if (placement.isWriting) {
        return;
    }
    enqueue(placement.primary, entry, false, now);
    for (const UpstreamKey helper : placement.helpers) {
        enqueue(helper, entry, true, now);
    }
}

void Board::enqueue(UpstreamKey upstream, const Entry &entry, bool isHelper, MonoTime now)
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

void Board::dequeue(const Placement &placement, MonoTime now)
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

void Board::play(ReadQueue &queue, MonoTime now) const
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

void Board::setWriting(PlacementId id, MonoTime now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end() && !it->second.placement.isWriting) {
        dequeue(it->second.placement, now);
        it->second.placement.isWriting = true;
    }
}

void Board::remove(PlacementId id, MonoTime now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end()) {
        dequeue(it->second.placement, now);
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
        if (!m_entries.contains(it.id)) {
            put(owner, it, now);
        } else if (it.isWriting) {
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

int Board::requestsOf(UpstreamKey upstream) const
{
    return static_cast<int>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto &it) {
        return it.second.placement.primary == upstream;
    }));
}

std::unordered_map<UpstreamKey, UpstreamLoad> Board::loads(MonoTime now)
{
    std::unordered_map<UpstreamKey, UpstreamLoad> loads;
    for (const auto &[id, entry] : m_entries) {
        const Placement &it = entry.placement;
        UpstreamLoad &primary = loads[it.primary];
        ++primary.requests;
        primary.waitingLate += it.isLate && !it.isWriting ? 1 : 0;
        const double elsewhere = it.ticketTokens * static_cast<double>(it.helpers.size());
        primary.memoryTokens += std::max(it.promptTokens - elsewhere, 0.0) + it.outputTokens;
        for (const UpstreamKey helper : it.helpers) {
            loads[helper].memoryTokens += it.ticketTokens;
            loads[helper].helping += it.isWriting ? 0 : 1;
        }
        if (it.isWriting) {
            primary.writers.push_back({it.gapTarget, worthOf(it.promptTokens, it.outputTokens)});
            primary.writerContextTokens += it.promptTokens;
        }
    }
    for (auto &[key, queue] : m_queues) {
        play(queue, now);
        UpstreamLoad &load = loads[key];
        double backlog = 0;
        for (const Read &read : queue.reads) {
            backlog += read.leftMs;
            load.longestReadTokens = std::max(load.longestReadTokens, m_entries.at(read.id).placement.promptTokens);
            if (read.isHelper) {
                load.helperBacklogMs = backlog;
                continue;
            }
            const Placement &it = m_entries.at(read.id).placement;
            const double due = toMs(it.placedAt + it.target - now);
            load.pendingReads.push_back({worthOf(it.promptTokens, it.outputTokens), due - backlog, it.gapTarget});
        }
        load.backlogMs = backlog;
    }
    return loads;
}

} // namespace magnolia::placement
