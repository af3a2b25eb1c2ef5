// Implementations of the policies.
#include "policies.h"

#include "fleet/cells.h"
#include "framework/global/hashing.h"
#include "framework/global/random.h"
#include "limits/pressuretable.h"
#include "placement/chooseengines.h"
#include "placement/enginecost.h"
#include "placement/placementtable.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace magnolia::bench
{

namespace
{

using placement::Placement;
using placement::UpstreamKey;

std::vector<placement::Candidate> allCandidates(const Workload &workload)
{
    std::vector<placement::Candidate> candidates(workload.engineCount);
    for (std::size_t i = 0; i < workload.engineCount; ++i) {
        candidates[i].key = i + 1;
        candidates[i].slots = workload.engine.slots;
    }
    return candidates;
}

/** Returns the engines that the instances of each cell use, in the order in which they fill them. */
std::vector<std::vector<placement::Candidate>> candidatesOfCells(
    const Workload &workload, const std::vector<std::size_t> &cellSizes)
{
    const std::size_t cells = cellSizes.size();
    const std::vector<placement::Candidate> all = allCandidates(workload);
    std::map<std::uint64_t, std::size_t> engineByHash;
    for (std::size_t i = 0; i < workload.engineCount && cells > 1; ++i) {
        engineByHash[stableHash("engine-" + std::to_string(i))] = i;
    }
    std::vector<std::uint64_t> hashes;
    hashes.reserve(engineByHash.size());
    for (const auto &[hash, engine] : engineByHash) {
        hashes.push_back(hash);
    }
    std::vector<std::vector<placement::Candidate>> byCell;
    for (std::size_t cell = 0; cell < cells; ++cell) {
        if (cells == 1) {
            byCell.push_back(all);
            continue;
        }
        byCell.emplace_back();
        for (const std::size_t i : fleet::upstreamsOfCell(hashes, cell, cellSizes)) {
            byCell.back().push_back(all[engineByHash.at(hashes[i])]);
        }
    }
    return byCell;
}

enum class ProductVariant {
    Current,
    /** One view of all instances without delay, and the true speeds of the engines. */
    FullKnowledge,
    /** The view of the product, with the choice of the engine with the fewest requests. */
    LeastLoaded,
    /** The view of the product, with the choice of the less loaded of two random engines. */
    TwoChoices,
};

/**
 * The policy of the product: each instance has a placement table and updates the tables of the peers in its cell by
 * messages.
 */
class ProductPolicy : public IPolicy
{
public:
    ProductPolicy(const Workload &workload, testing::Schedule &schedule, std::uint64_t seed, ProductVariant variant)
        : m_workload(workload)
        , m_schedule(schedule)
        , m_random(seed ^ messageSeed)
        , m_variant(variant)
        , m_hasSharedTable(variant == ProductVariant::FullKnowledge)
    {
        const bool hasSharedTable = m_hasSharedTable;
        const std::size_t cells = hasSharedTable ? 1 : fleet::nextCellCount(1, workload.instanceCount);
        std::vector<std::size_t> cellSizes(cells, 0);
        for (std::size_t i = 0; i < workload.instanceCount; ++i) {
            m_cellOfInstance.push_back(fleet::cellIndex(stableHash("instance-" + std::to_string(i)), cells));
            ++cellSizes[m_cellOfInstance.back()];
        }
        m_candidates = candidatesOfCells(workload, cellSizes);
        const std::size_t tableCount = hasSharedTable ? 1 : workload.instanceCount;
        m_pressure.resize(tableCount);
        for (std::size_t i = 0; i < tableCount; ++i) {
            m_tables.push_back(makeTable());
        }
        for (std::size_t i = 0; i < tableCount && !hasSharedTable; ++i) {
            if (workload.fullStateInterval.count() > 0) {
                m_schedule.after(workload.fullStateInterval * m_random.below(100) / 100, [this, i] {
                    sendFullState(i);
                });
            }
            for (const Restart &it : workload.restarts) {
                if (static_cast<double>(i) < it.share * static_cast<double>(tableCount)) {
                    m_schedule.at(MonoTime(std::chrono::duration_cast<MonoTime::duration>(
                                      std::chrono::duration<double>(it.atSecond))),
                        [this, i] {
                            restart(i);
                        });
                }
            }
        }
    }

    placement::Decision choose(std::size_t instance, const ReceivedRequest &request, MonoTime now) override
    {
        const auto loads = tableOf(instance).loads(now);
        std::vector<placement::Candidate> candidates = m_candidates[m_cellOfInstance[instance]];
        for (placement::Candidate &it : candidates) {
            it.slowdown
                = m_hasSharedTable ? engineSlowdown(m_workload, it.key - 1) : tableOf(instance).slowdown(it.key, now);
        }
        const limits::PressureTable &pressure = m_pressure[m_hasSharedTable ? 0 : instance];
        std::erase_if(candidates, [&](const placement::Candidate &it) {
            return pressure.availableAt(it.key, 0, 1, now) > now;
        });
        if (m_variant == ProductVariant::LeastLoaded || m_variant == ProductVariant::TwoChoices) {
            return chooseByRequests(candidates, loads);
        }
        return placement::chooseEngines(
            m_workload.engine, request.work, request.time, request.targets, candidates, loads, m_parameters);
    }

    void onPlaced(std::size_t instance, const Placement &placed, MonoTime /*now*/) override
    {
        updateTables(instance, [this, placed, owner = std::to_string(instance)](placement::PlacementTable &table) {
            table.put(owner, placed, m_schedule.now());
        });
        updatePressure(instance, [this, placed](limits::PressureTable &table) {
            table.recordRequest(placed.primary, 1, m_schedule.now());
        });
    }

    void onLimit(
        std::size_t instance, UpstreamKey engine, std::optional<double> requestsPerSecond, MonoTime /*now*/) override
    {
        if (m_pressure[m_hasSharedTable ? 0 : instance].limit(engine, 0) == requestsPerSecond) {
            return;
        }
        updatePressure(instance, [this, engine, requestsPerSecond](limits::PressureTable &table) {
            table.setLimit(engine, 0, requestsPerSecond, m_schedule.now());
        });
    }

    void onFirstEvent(std::size_t instance, placement::PlacementId id, MonoTime /*now*/) override
    {
        updateTables(instance, [this, id](placement::PlacementTable &table) {
            table.setDecoding(id, m_schedule.now());
        });
    }

    void onEnded(std::size_t instance, placement::PlacementId id, MonoTime /*now*/) override
    {
        updateTables(instance, [this, id](placement::PlacementTable &table) {
            table.remove(id, m_schedule.now());
        });
    }

private:
    /** Chooses by the number of requests in the view of the instance alone. */
    placement::Decision chooseByRequests(const std::vector<placement::Candidate> &candidates,
        const std::unordered_map<UpstreamKey, placement::PlacementLoad> &loads)
    {
        placement::Decision decision;
        const auto requestsAt = [&](UpstreamKey key) {
            const auto load = loads.find(key);
            return load == loads.end() ? 0 : load->second.requests;
        };
        if (candidates.empty()) {
            return decision;
        }
        decision.verdict = placement::Verdict::Send;
        if (m_variant == ProductVariant::TwoChoices) {
            const UpstreamKey a = candidates[m_random.below(candidates.size())].key;
            const UpstreamKey b = candidates[m_random.below(candidates.size())].key;
            decision.primary = requestsAt(a) <= requestsAt(b) ? a : b;
            return decision;
        }
        decision.primary = std::min_element(candidates.begin(), candidates.end(), [&](const auto &a, const auto &b) {
            return requestsAt(a.key) < requestsAt(b.key);
        })->key;
        return decision;
    }

    [[nodiscard]] std::unique_ptr<placement::PlacementTable> makeTable() const
    {
        return std::make_unique<placement::PlacementTable>(
            [this](const Placement &it) {
                const double promptMs = placement::prefillMs(m_workload.engine, it.promptTokens);
                return promptMs * m_parameters.prefillOverheadFactor / static_cast<double>(it.helpers.size() + 1);
            },
            [this](const Placement & /*it*/) {
                return &m_workload.engine;
            });
    }

    void restart(std::size_t instance)
    {
        // The engines go on with the requests of this instance, so only its knowledge of the others is lost.
        const std::string owner = std::to_string(instance);
        const auto own = m_tables[instance]->placementsOf(owner);
        m_tables[instance] = makeTable();
        for (const Placement &it : own) {
            m_tables[instance]->put(owner, it, m_schedule.now());
        }
    }

    void sendFullState(std::size_t instance)
    {
        const std::string owner = std::to_string(instance);
        sendToPeers(instance, m_tables,
            [this, owner, placements = m_tables[instance]->placementsOf(owner)](placement::PlacementTable &table) {
                table.replaceAll(owner, placements, m_schedule.now());
            });
        m_schedule.after(m_workload.fullStateInterval, [this, instance] {
            sendFullState(instance);
        });
    }

    /** Applies `change` to what each peer in the cell of `instance` knows when it gets the message, if it does. */
    template <typename Known, typename Change>
    void sendToPeers(std::size_t instance, std::vector<Known> &known, const Change &change)
    {
        for (std::size_t i = 0; i < known.size() && !m_hasSharedTable; ++i) {
            if (i == instance || m_cellOfInstance[i] != m_cellOfInstance[instance]) {
                continue;
            }
            if (m_workload.peerMessageLoss > 0 && m_random.chance(m_workload.peerMessageLoss)) {
                continue;
            }
            MonoTime::duration delay = m_workload.peerMessageDelay;
            if (m_workload.maxPeerMessageDelay > m_workload.peerMessageDelay) {
                const auto most = std::chrono::duration<double>(m_workload.maxPeerMessageDelay - delay);
                delay += std::chrono::duration_cast<MonoTime::duration>(most * m_random.unit());
            }
            m_schedule.after(delay, [&it = known[i], change] {
                if constexpr (requires { *it; }) {
                    change(*it);
                } else {
                    change(it);
                }
            });
        }
    }

    placement::PlacementTable &tableOf(std::size_t instance)
    {
        return *m_tables[m_hasSharedTable ? 0 : instance];
    }

    /** Applies `change` to the table of `instance` at once, and to the others after the delay of a peer message. */
    void updateTables(std::size_t instance, const std::function<void(placement::PlacementTable &)> &change)
    {
        change(tableOf(instance));
        sendToPeers(instance, m_tables, change);
    }

    /** Applies `change` as updateTables() does, to what the engines say of themselves. */
    void updatePressure(std::size_t instance, const std::function<void(limits::PressureTable &)> &change)
    {
        change(m_pressure[m_hasSharedTable ? 0 : instance]);
        sendToPeers(instance, m_pressure, change);
    }

    const Workload &m_workload;
    testing::Schedule &m_schedule;
    // By cell.
    std::vector<std::vector<placement::Candidate>> m_candidates;
    std::vector<std::size_t> m_cellOfInstance;
    placement::ChoiceParameters m_parameters;
    static constexpr std::uint64_t messageSeed = 0x9e3779b97f4a7c15ULL;
    Random m_random;
    ProductVariant m_variant;
    bool m_hasSharedTable;
    std::vector<std::unique_ptr<placement::PlacementTable>> m_tables;
    std::vector<limits::PressureTable> m_pressure;
};

/** Base of the simple policies: counts the requests of all instances at each engine, without delay. */
class RequestCountingPolicy : public IPolicy
{
public:
    RequestCountingPolicy(const Workload &workload, std::uint64_t seed)
        : m_workload(workload)
        , m_random(seed)
        , m_requests(workload.engineCount, 0)
    {
    }

    void onPlaced(std::size_t /*instance*/, const Placement &placed, MonoTime /*now*/) override
    {
        m_placed[placed.id] = placed;
        count(placed, 1);
    }

    void onFirstEvent(std::size_t /*instance*/, placement::PlacementId /*id*/, MonoTime /*now*/) override
    {
    }

    void onLimit(std::size_t /*instance*/, UpstreamKey /*engine*/, std::optional<double> /*requestsPerSecond*/,
        MonoTime /*now*/) override
    {
    }

    void onEnded(std::size_t /*instance*/, placement::PlacementId id, MonoTime /*now*/) override
    {
        if (const auto node = m_placed.extract(id)) {
            count(node.mapped(), -1);
        }
    }

protected:
    static placement::Decision sendTo(std::size_t engine)
    {
        placement::Decision decision;
        decision.verdict = placement::Verdict::Send;
        decision.primary = engine + 1;
        return decision;
    }

    /** Returns the engine with the fewest requests in [firstEngine, endEngine). */
    [[nodiscard]] std::size_t leastLoadedEngine(std::size_t firstEngine, std::size_t endEngine) const
    {
        const auto begin = m_requests.begin();
        const auto it = std::min_element(
            begin + static_cast<std::ptrdiff_t>(firstEngine), begin + static_cast<std::ptrdiff_t>(endEngine));
        return static_cast<std::size_t>(it - begin);
    }

    const Workload &m_workload;
    Random m_random;
    std::vector<int> m_requests;

private:
    void count(const Placement &placed, int change)
    {
        m_requests[placed.primary - 1] += change;
        for (const UpstreamKey it : placed.helpers) {
            m_requests[it - 1] += change;
        }
    }

    std::map<placement::PlacementId, Placement> m_placed;
};

class RoundRobin : public RequestCountingPolicy
{
public:
    using RequestCountingPolicy::RequestCountingPolicy;

    placement::Decision choose(std::size_t /*instance*/, const ReceivedRequest & /*request*/, MonoTime /*now*/) override
    {
        return sendTo(m_next++ % m_workload.engineCount);
    }

private:
    std::size_t m_next = 0;
};

class LeastOutstanding : public RequestCountingPolicy
{
public:
    using RequestCountingPolicy::RequestCountingPolicy;

    placement::Decision choose(std::size_t /*instance*/, const ReceivedRequest & /*request*/, MonoTime /*now*/) override
    {
        return sendTo(leastLoadedEngine(0, m_workload.engineCount));
    }
};

class PowerOfTwo : public RequestCountingPolicy
{
public:
    using RequestCountingPolicy::RequestCountingPolicy;

    placement::Decision choose(std::size_t /*instance*/, const ReceivedRequest & /*request*/, MonoTime /*now*/) override
    {
        const std::size_t a = m_random.below(m_workload.engineCount);
        const std::size_t b = m_random.below(m_workload.engineCount);
        return sendTo(m_requests[a] <= m_requests[b] ? a : b);
    }
};

/**
 * Reserves separate engines for short and for long prompts, in proportion to their mean load. Up to four engines
 * prefill a long prompt together.
 */
class FixedLanes : public RequestCountingPolicy
{
public:
    FixedLanes(const Workload &workload, std::uint64_t seed)
        : RequestCountingPolicy(workload, seed)
    {
        double shortMs = 0;
        double longMs = 0;
        for (const PromptClass &it : workload.classes) {
            const double ms = it.ratePerSecond
                * (placement::prefillMs(workload.engine, it.promptLength.mean)
                    + it.outputLength.mean * workload.engine.stepMs / std::max(1, workload.engine.slots));
            (isLong(it.promptLength.mean) ? longMs : shortMs) += ms;
        }
        const double longShare = longMs / std::max(1e-9, longMs + shortMs);
        const auto engineCount = static_cast<double>(workload.engineCount);
        m_longEngineCount = static_cast<std::size_t>(std::clamp(
            std::round(engineCount * longShare), std::min(engineCount, 1.0), std::max(1.0, engineCount - 1)));
    }

    placement::Decision choose(std::size_t /*instance*/, const ReceivedRequest &request, MonoTime /*now*/) override
    {
        const std::size_t firstLongEngine = m_workload.engineCount - m_longEngineCount;
        if (!isLong(request.work.promptTokens)) {
            return sendTo(leastLoadedEngine(0, std::max<std::size_t>(firstLongEngine, 1)));
        }
        placement::Decision decision = sendTo(leastLoadedEngine(firstLongEngine, m_workload.engineCount));
        std::vector<std::size_t> others(m_longEngineCount);
        std::iota(others.begin(), others.end(), firstLongEngine);
        std::erase(others, decision.primary - 1);
        std::sort(others.begin(), others.end(), [this](std::size_t a, std::size_t b) {
            return m_requests[a] < m_requests[b];
        });
        others.resize(std::min<std::size_t>(others.size(), maxGroupSize - 1));
        for (const std::size_t it : others) {
            decision.helpers.push_back(it + 1);
        }
        decision.reservedTokensPerHelper = request.work.promptTokens / static_cast<double>(decision.helpers.size() + 1);
        return decision;
    }

private:
    static bool isLong(double promptTokens)
    {
        constexpr double maxShortPromptTokens = 30'000;
        return promptTokens > maxShortPromptTokens;
    }

    static constexpr std::size_t maxGroupSize = 4;
    std::size_t m_longEngineCount = 1;
};

} // namespace

const std::vector<std::string> &policyNames()
{
    static const std::vector<std::string> names{"choice", "choice-full-knowledge", "stale-least", "stale-two",
        "round-robin", "least-outstanding", "power-of-two", "fixed-lanes"};
    return names;
}

bool knowsOutputLength(const std::string &name)
{
    return name == "choice-full-knowledge";
}

std::unique_ptr<IPolicy> makePolicy(
    const std::string &name, const Workload &workload, testing::Schedule &schedule, std::uint64_t seed)
{
    const std::map<std::string, ProductVariant> variants{{"choice", ProductVariant::Current},
        {"choice-full-knowledge", ProductVariant::FullKnowledge}, {"stale-least", ProductVariant::LeastLoaded},
        {"stale-two", ProductVariant::TwoChoices}};
    if (const auto variant = variants.find(name); variant != variants.end()) {
        return std::make_unique<ProductPolicy>(workload, schedule, seed, variant->second);
    }
    if (name == "round-robin") {
        return std::make_unique<RoundRobin>(workload, seed);
    }
    if (name == "least-outstanding") {
        return std::make_unique<LeastOutstanding>(workload, seed);
    }
    if (name == "power-of-two") {
        return std::make_unique<PowerOfTwo>(workload, seed);
    }
    if (name == "fixed-lanes") {
        return std::make_unique<FixedLanes>(workload, seed);
    }
    return nullptr;
}

} // namespace magnolia::bench
