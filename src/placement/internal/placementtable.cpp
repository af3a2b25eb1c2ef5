// Known placements and the load derived from them.
#include "placement/placementtable.h"

#include "placement/enginecost.h"
#include "placement/silentowner.h"

#include <algorithm>

namespace magnolia::placement
{

namespace
{

/** Share of the prefill time assumed to remain for a prompt whose prefill is overdue. */
constexpr double overdueRemainingShare = 0.05;
/** Age up to which a placement that is new to this instance is measured; datagrams take a few milliseconds. */
constexpr Milliseconds maxMeasuredNoticeTime{50};

double toMs(MonoTime::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

PlacementTable::PlacementTable(PrefillCost prefillCost, EngineOf engineOf)
    : m_prefillCost(std::move(prefillCost))
    , m_engineOf(std::move(engineOf))
{
}

void PlacementTable::put(const std::string &owner, const Placement &placement, MonoTime now)
{
    remove(placement.id, now);
    Entry &entry = m_entries[placement.id];
    entry = Entry{owner, placement, m_prefillCost(placement), expectedDecodeMs(placement), now, {}};
    entry.expected = expectedFirstEvents(entry, now);
    count(placement, 1);
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
    PrefillQueue &queue = m_queues[upstream];
    advance(upstream, queue, now);
    // A placement reported late may already be prefilled in part.
    const double age = std::max(0.0, toMs(now - entry.placement.placedAt)) / slowdown(upstream, now);
    const double remaining = std::max(entry.partPrefillMs - age, entry.partPrefillMs * overdueRemainingShare);
    const Prefill prefill{entry.placement.id, isHelper, remaining};
    const auto position = isHelper ? std::find_if(queue.prefills.begin(), queue.prefills.end(),
                              [](const Prefill &it) {
                                  return !it.isHelper;
                              })
                                   : queue.prefills.end();
    queue.prefills.insert(position, prefill);
}

void PlacementTable::dequeue(const Placement &placement, MonoTime now)
{
    const auto removeFrom = [&](UpstreamKey upstream) {
        const auto it = m_queues.find(upstream);
        if (it == m_queues.end()) {
            return;
        }
        advance(upstream, it->second, now);
        std::erase_if(it->second.prefills, [&](const Prefill &prefill) {
            return prefill.id == placement.id;
        });
        if (it->second.prefills.empty()) {
            m_queues.erase(it);
        }
    };
    removeFrom(placement.primary);
    for (const UpstreamKey helper : placement.helpers) {
        removeFrom(helper);
    }
}

void PlacementTable::count(const Placement &placement, int change)
{
    Requests &requests = m_requests[placement.primary];
    requests.count += change;
    if (placement.isDecoding) {
        requests.decodingCount += change;
        requests.decodeContextTokens += change * placement.promptTokens;
    }
    if (requests.count == 0) {
        m_requests.erase(placement.primary);
    }
}

/** Returns when the first event is expected at the published speed, as ChoiceContext::firstEventMs() predicts it. */
std::vector<ExpectedFirstEvent> PlacementTable::expectedFirstEvents(const Entry &entry, MonoTime now)
{
    const Placement &it = entry.placement;
    const catalogue::EngineModel *const engine = m_engineOf ? m_engineOf(it) : nullptr;
    const auto requests = m_requests.find(it.primary);
    // Of a request that has waited for a slot, or of which this instance learns late, the time tells nothing.
    const bool hasSlot = engine != nullptr && (requests == m_requests.end() || requests->second.count < engine->slots);
    if (!hasSlot || it.isDecoding || now - it.placedAt > maxMeasuredNoticeTime) {
        return {};
    }
    std::vector<ExpectedFirstEvent> expected;
    const auto add = [&](UpstreamKey upstream, bool isHelper) {
        const auto own = m_requests.find(upstream);
        const Requests running = own == m_requests.end() ? Requests{} : own->second;
        const double pass = decodePassMs(*engine, running.decodingCount + 1, running.decodeContextTokens);
        double backlog = 0;
        if (const auto queue = m_queues.find(upstream); queue != m_queues.end()) {
            advance(upstream, queue->second, now);
            for (const Prefill &prefill : queue->second.prefills) {
                backlog += !isHelper || prefill.isHelper ? prefill.remainingMs : 0;
            }
        }
        expected.push_back(
            {upstream, (running.decodingCount > 0 ? pass / 2 : 0) + backlog + entry.partPrefillMs + pass});
    };
    add(it.primary, false);
    for (const UpstreamKey helper : it.helpers) {
        add(helper, true);
    }
    return expected;
}

double PlacementTable::expectedDecodeMs(const Placement &placement) const
{
    const catalogue::EngineModel *const engine = m_engineOf ? m_engineOf(placement) : nullptr;
    return engine == nullptr ? 0
                             : placement.outputTokens / std::max(engine->stepsPerPass, 1)
            * decodePassMs(*engine, engine->slots / 2, placement.promptTokens);
}

double PlacementTable::slowdown(UpstreamKey upstream, MonoTime now) const
{
    return m_speeds.slowdown(upstream, now);
}

void PlacementTable::advance(UpstreamKey upstream, PrefillQueue &queue, MonoTime now) const
{
    double elapsed = std::max(0.0, toMs(now - queue.advancedTo)) / slowdown(upstream, now);
    queue.advancedTo = std::max(queue.advancedTo, now);
    for (Prefill &it : queue.prefills) {
        if (elapsed <= 0) {
            break;
        }
        const auto entry = m_entries.find(it.id);
        const double fullMs = entry == m_entries.end() ? 0 : entry->second.partPrefillMs;
        // The end of a helper part is not reported; that of an own prompt is known from its first event.
        const double minRemaining = it.isHelper ? 0 : fullMs * overdueRemainingShare;
        const double progress = std::min(elapsed, std::max(0.0, it.remainingMs - minRemaining));
        it.remainingMs -= progress;
        // Until the first event of a prompt arrives, the engine has not started the next one.
        elapsed = it.isHelper ? elapsed - progress : 0;
    }
    std::erase_if(queue.prefills, [](const Prefill &it) {
        return it.isHelper && it.remainingMs <= 0;
    });
}

void PlacementTable::setDecoding(PlacementId id, MonoTime now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end() && !it->second.placement.isDecoding) {
        dequeue(it->second.placement, now);
        count(it->second.placement, -1);
        it->second.placement.isDecoding = true;
        it->second.decodingSince = now;
        count(it->second.placement, 1);
        m_speeds.recordFirstEvent(it->second.expected, toMs(now - it->second.placement.placedAt), now);
        it->second.expected.clear();
    }
}

void PlacementTable::remove(PlacementId id, MonoTime now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end()) {
        dequeue(it->second.placement, now);
        count(it->second.placement, -1);
        m_entries.erase(it);
    }
}

void PlacementTable::replaceAll(const std::string &owner, const std::vector<Placement> &placements, MonoTime now)
{
    std::unordered_map<PlacementId, const Placement *> reported;
    for (const Placement &it : placements) {
        reported[it.id] = &it;
    }
    std::vector<PlacementId> removedIds;
    for (const auto &[id, entry] : m_entries) {
        if (entry.owner == owner && !reported.contains(id)) {
            removedIds.push_back(id);
        }
    }
    for (const PlacementId id : removedIds) {
        remove(id, now);
    }
    for (const Placement &it : placements) {
        if (!m_entries.contains(it.id)) {
            put(owner, it, now);
        } else if (it.isDecoding) {
            // The first event was earlier than this message, which only repeats it.
            m_entries.at(it.id).expected.clear();
            setDecoding(it.id, now);
        }
    }
}

void PlacementTable::removeOwner(const std::string &owner, MonoTime now)
{
    replaceAll(owner, {}, now);
}

std::size_t PlacementTable::removeExpired(const std::unordered_map<std::string, MonoTime> &silentOwners,
    const std::function<double(const Placement &placement)> &decodeMs, MonoTime now)
{
    std::vector<PlacementId> removedIds;
    for (const auto &[id, entry] : m_entries) {
        const auto silent = silentOwners.find(entry.owner);
        if (silent != silentOwners.end()
            && now >= keepUntil(entry.placement, silent->second, decodeMs(entry.placement))) {
            removedIds.push_back(id);
        }
    }
    for (const PlacementId id : removedIds) {
        remove(id, now);
    }
    return removedIds.size();
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

int PlacementTable::requestCount(UpstreamKey upstream) const
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
        const double helperTokens = it.reservedTokensPerHelper * static_cast<double>(it.helpers.size());
        const double ownTokens = std::max(it.promptTokens - helperTokens, 0.0) + it.outputTokens;
        const double endsInMs = it.isDecoding ? toMs(entry.decodingSince - now) + entry.decodeMs
                                              : toMs(it.placedAt - now) + entry.partPrefillMs + entry.decodeMs;
        primary.usedKvTokens += ownTokens;
        primary.outputTokens += it.outputTokens;
        primary.memoryHolds.push_back({ownTokens, std::max(0.0, endsInMs)});
        for (const UpstreamKey helper : it.helpers) {
            PlacementLoad &load = loads[helper];
            load.usedKvTokens += it.reservedTokensPerHelper;
            load.helperPrefills += it.isDecoding ? 0 : 1;
            if (it.reservedTokensPerHelper > 0) {
                load.memoryHolds.push_back({it.reservedTokensPerHelper, std::max(0.0, endsInMs)});
            }
        }
        if (it.isDecoding) {
            primary.decodingRequests.push_back({it.gapTarget});
            primary.decodeContextTokens += it.promptTokens;
        }
    }
    for (auto &[key, queue] : m_queues) {
        advance(key, queue, now);
        PlacementLoad &load = loads[key];
        const double slowdownOfEngine = slowdown(key, now);
        double backlog = 0;
        for (const Prefill &prefill : queue.prefills) {
            backlog += prefill.remainingMs;
            load.longestPrefillTokens
                = std::max(load.longestPrefillTokens, m_entries.at(prefill.id).placement.promptTokens);
            if (prefill.isHelper) {
                load.helperBacklogMs = backlog;
                continue;
            }
            const Placement &it = m_entries.at(prefill.id).placement;
            const double neededInMs = toMs(it.placedAt + it.firstEventLimit - now);
            load.pendingPrefills.push_back({neededInMs - backlog * slowdownOfEngine, it.gapTarget});
        }
        load.backlogMs = backlog;
    }
    return loads;
}

} // namespace magnolia::placement
