// Policies over modelled engines.
#include "policies.h"

#include "framework/global/random.h"
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
    std::vector<placement::Candidate> candidates(workload.engines);
    for (std::size_t i = 0; i < workload.engines; ++i) {
        candidates[i].key = i + 1;
        candidates[i].slots = workload.engine.slots;
    }
    return candidates;
}

/** The product's own decision: one board an instance, kept together by notes. */
class Choice : public IPolicy
{
public:
    Choice(const Workload &workload, testing::Schedule &schedule, bool hasOneView)
        : m_workload(workload)
        , m_schedule(schedule)
        , m_candidates(allCandidates(workload))
        , m_hasOneView(hasOneView)
    {
        const std::size_t views = hasOneView ? 1 : workload.instances;
        for (std::size_t i = 0; i < views; ++i) {
            m_boards.push_back(std::make_unique<placement::PlacementTable>([this](const Placement &it) {
                const double whole = placement::prefillMs(m_workload.engine, it.promptTokens);
                return whole * m_parameters.prefillOverheadFactor / static_cast<double>(it.helpers.size() + 1);
            }));
        }
    }

    placement::Decision choose(std::size_t instance, const placement::WorkEstimate &work, MonoTime now) override
    {
        const auto loads = board(instance).loads(now);
        return placement::chooseEngines(m_workload.engine, work, m_candidates, loads, m_parameters);
    }

    void onPlaced(std::size_t instance, const Placement &placed, MonoTime /*now*/) override
    {
        tell(instance, [this, placed](placement::PlacementTable &board) {
            board.put({}, placed, m_schedule.now());
        });
    }

    void onWriting(std::size_t instance, placement::PlacementId id, MonoTime /*now*/) override
    {
        tell(instance, [this, id](placement::PlacementTable &board) {
            board.setDecoding(id, m_schedule.now());
        });
    }

    void onEnded(std::size_t instance, placement::PlacementId id, MonoTime /*now*/) override
    {
        tell(instance, [this, id](placement::PlacementTable &board) {
            board.remove(id, m_schedule.now());
        });
    }

private:
    placement::PlacementTable &board(std::size_t instance)
    {
        return *m_boards[m_hasOneView ? 0 : instance];
    }

    /** At once on the instance's own board, after the delay of a note on the others. */
    void tell(std::size_t instance, const std::function<void(placement::PlacementTable &)> &change)
    {
        change(board(instance));
        for (std::size_t i = 0; i < m_boards.size() && !m_hasOneView; ++i) {
            if (i != instance) {
                m_schedule.after(m_workload.noteDelay, [this, i, change] {
                    change(*m_boards[i]);
                });
            }
        }
    }

    const Workload &m_workload;
    testing::Schedule &m_schedule;
    std::vector<placement::Candidate> m_candidates;
    placement::ChoiceParameters m_parameters;
    bool m_hasOneView;
    std::vector<std::unique_ptr<placement::PlacementTable>> m_boards;
};

/** What the simple policies see: the requests at each engine, of all instances and without delay. */
class Counting : public IPolicy
{
public:
    Counting(const Workload &workload, std::uint64_t seed)
        : m_workload(workload)
        , m_random(seed)
        , m_requests(workload.engines, 0)
    {
    }

    void onPlaced(std::size_t /*instance*/, const Placement &placed, MonoTime /*now*/) override
    {
        m_placed[placed.id] = placed;
        count(placed, 1);
    }

    void onWriting(std::size_t /*instance*/, placement::PlacementId /*id*/, MonoTime /*now*/) override
    {
    }

    void onEnded(std::size_t /*instance*/, placement::PlacementId id, MonoTime /*now*/) override
    {
        if (const auto node = m_placed.extract(id)) {
            count(node.mapped(), -1);
        }
    }

protected:
    static placement::Decision send(std::size_t engine)
    {
        placement::Decision made;
        made.verdict = placement::Verdict::Send;
        made.primary = engine + 1;
        return made;
    }

    /** The engine with the fewest requests in [first, last). */
    [[nodiscard]] std::size_t leastOf(std::size_t first, std::size_t last) const
    {
        const auto begin = m_requests.begin();
        const auto it
            = std::min_element(begin + static_cast<std::ptrdiff_t>(first), begin + static_cast<std::ptrdiff_t>(last));
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

class RoundRobin : public Counting
{
public:
    using Counting::Counting;

    placement::Decision choose(
        std::size_t /*instance*/, const placement::WorkEstimate & /*work*/, MonoTime /*now*/) override
    {
        return send(m_next++ % m_workload.engines);
    }

private:
    std::size_t m_next = 0;
};

class LeastOutstanding : public Counting
{
public:
    using Counting::Counting;

    placement::Decision choose(
        std::size_t /*instance*/, const placement::WorkEstimate & /*work*/, MonoTime /*now*/) override
    {
        return send(leastOf(0, m_workload.engines));
    }
};

class PowerOfTwo : public Counting
{
public:
    using Counting::Counting;

    placement::Decision choose(
        std::size_t /*instance*/, const placement::WorkEstimate & /*work*/, MonoTime /*now*/) override
    {
        const std::size_t a = m_random.below(m_workload.engines);
        const std::size_t b = m_random.below(m_workload.engines);
        return send(m_requests[a] <= m_requests[b] ? a : b);
    }
};

/** Short and long prompts on engines of their own, split by the mean load; long ones are read by groups of four. */
class FixedLanes : public Counting
{
public:
    FixedLanes(const Workload &workload, std::uint64_t seed)
        : Counting(workload, seed)
    {
        double shortMs = 0;
        double longMs = 0;
        for (const PromptClass &it : workload.classes) {
            const double ms = it.perSecond
                * (placement::prefillMs(workload.engine, it.prompt.mean)
                    + it.output.mean * workload.engine.stepMs / std::max(1, workload.engine.slots));
            (isLong(it.prompt.mean) ? longMs : shortMs) += ms;
        }
        const double share = longMs / std::max(1e-9, longMs + shortMs);
        const auto engines = static_cast<double>(workload.engines);
        m_longEngines = static_cast<std::size_t>(
            std::clamp(std::round(engines * share), std::min(engines, 1.0), std::max(1.0, engines - 1)));
    }

    placement::Decision choose(std::size_t /*instance*/, const placement::WorkEstimate &work, MonoTime /*now*/) override
    {
        const std::size_t border = m_workload.engines - m_longEngines;
        if (!isLong(work.promptTokens)) {
            return send(leastOf(0, std::max<std::size_t>(border, 1)));
        }
        placement::Decision made = send(leastOf(border, m_workload.engines));
        std::vector<std::size_t> others(m_longEngines);
        std::iota(others.begin(), others.end(), border);
        std::erase(others, made.primary - 1);
        std::sort(others.begin(), others.end(), [this](std::size_t a, std::size_t b) {
            return m_requests[a] < m_requests[b];
        });
        others.resize(std::min<std::size_t>(others.size(), groupSize - 1));
        for (const std::size_t it : others) {
            made.helpers.push_back(it + 1);
        }
        made.reservedTokensPerHelper = work.promptTokens / static_cast<double>(made.helpers.size() + 1);
        return made;
    }

private:
    static bool isLong(double promptTokens)
    {
        constexpr double border = 30'000;
        return promptTokens > border;
    }

    static constexpr std::size_t groupSize = 4;
    std::size_t m_longEngines = 1;
};

} // namespace

const std::vector<std::string> &policyNames()
{
    static const std::vector<std::string> names{
        "choice", "choice-full-knowledge", "round-robin", "least-outstanding", "power-of-two", "fixed-lanes"};
    return names;
}

bool knowsOutput(const std::string &name)
{
    return name == "choice-full-knowledge";
}

std::unique_ptr<IPolicy> makePolicy(
    const std::string &name, const Workload &workload, testing::Schedule &schedule, std::uint64_t seed)
{
    if (name == "choice" || name == "choice-full-knowledge") {
        return std::make_unique<Choice>(workload, schedule, knowsOutput(name));
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
