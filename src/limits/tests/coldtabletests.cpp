// Tests of the budgets of cold upstreams, alone and in fleets in virtual time under the load of a large deployment.
#include "framework/global/random.h"
#include "limits/coldbudget.h"
#include "limits/coldtable.h"
#include "limits/instancememory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::limits;

namespace
{

const MonoTime start{std::chrono::seconds(10'000)};

std::vector<std::string> instanceNames(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.push_back("gateway-" + std::to_string(i));
    }
    return names;
}

std::uint64_t testSeed()
{
    const char *text = std::getenv("MAGNOLIA_SEED");
    const std::uint64_t seed = text == nullptr ? 7 : std::strtoull(text, nullptr, 10);
    std::cout << "MAGNOLIA_SEED=" << seed << '\n';
    return seed;
}

struct Scenario
{
    std::string name;
    std::size_t instances = 77;
    std::size_t upstreams = 54;
    double coldPerSecond = 18;
    double ratio = 1.5;
    double slack = 5;
    /** Share of the upstreams that becomes cold, again and again. */
    double coldShare = 1.0 / 3;
    /** Time at which they become cold for the first time, all at once or spread over a second. */
    Milliseconds coldFrom{0};
    bool isColdAtOnce = true;
    /** The instances of the two halves do not hear each other. */
    bool isPartitioned = false;
    /** All instances start at the beginning and learn of each other in the first seconds. */
    bool isStarting = false;
    /** An instance restarts at this interval; 0 if none does. */
    Milliseconds restartInterval{0};
    /** Instances that are missing in the view of each instance. */
    std::size_t missingInstances = 0;
    /** Every n-th instance keeps no budget; 0 if all do. */
    std::size_t withoutBudgetInterval = 0;
};

struct Result
{
    /** Highest number of requests in a second of a cold upstream from instances that keep the budget. */
    std::size_t maxInSecond = 0;
    int served = 0;
    int servedWithCompleteInformation = 0;
    int coldRequests = 0;
};

/** A fleet before upstreams with slots, all in virtual time. */
class Simulation
{
public:
    Simulation(const Scenario &scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_arrivalRandom(seed ^ 1U)
        , m_names(instanceNames(scenario.instances))
        , m_budget(coldBudget(scenario.coldPerSecond, scenario.ratio, scenario.slack))
        , m_upstreams(scenario.upstreams)
    {
        // A cold upstream is cold for three seconds and warm for one.
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            const bool becomesCold
                = static_cast<double>(i) < scenario.coldShare * static_cast<double>(m_upstreams.size());
            m_upstreams[i].key = 1000 + i;
            if (becomesCold) {
                m_upstreams[i].nextColdAt = start + scenario.coldFrom
                    + (scenario.isColdAtOnce ? Milliseconds(0) : Milliseconds(m_random.below(1000)));
            }
        }
        for (std::size_t i = 0; i < scenario.instances; ++i) {
            m_instances.emplace_back();
            reset(i, scenario.isStarting ? start : start - Milliseconds(60'000));
            if (!scenario.isStarting) {
                learn(i, start - Milliseconds(30'000));
            }
        }
    }

    /** Runs the load; with `hasCompleteInformation` one placement knows all requests. */
    int run(bool hasCompleteInformation)
    {
        // Requests per second and upstream of deployment A when short prompts come 2.5 times as often.
        constexpr double requestsPerSecondPerUpstream = (64.2 * 2.5 + 7.81 + 1.46) / 54;
        const double rate = requestsPerSecondPerUpstream * static_cast<double>(m_upstreams.size());
        double nextArrival = 0;
        int served = 0;
        for (MonoTime now = start; now < start + length; now += Milliseconds(1)) {
            advance(now);
            const double elapsedMs = std::chrono::duration<double, std::milli>(now - start).count();
            for (; nextArrival <= elapsedMs; nextArrival += m_arrivalRandom.exponential(1000 / rate)) {
                const std::size_t instance = m_arrivalRandom.below(m_instances.size());
                served += attempt(now, instance, hasCompleteInformation, true) ? 1 : 0;
            }
            while (!m_retries.empty() && m_retries.begin()->first <= now) {
                m_retries.erase(m_retries.begin());
                served += attempt(now, m_random.below(m_instances.size()), hasCompleteInformation, false) ? 1 : 0;
            }
        }
        return served;
    }

    [[nodiscard]] std::size_t maxInSecond() const
    {
        std::size_t most = 0;
        for (const Upstream &it : m_upstreams) {
            std::vector<MonoTime> arrivals = it.coldArrivals;
            std::sort(arrivals.begin(), arrivals.end());
            std::size_t begin = 0;
            for (std::size_t i = 0; i < arrivals.size(); ++i) {
                while (arrivals[i] - arrivals[begin] >= std::chrono::seconds(1)) {
                    ++begin;
                }
                most = std::max(most, i + 1 - begin);
            }
        }
        return most;
    }

    [[nodiscard]] int coldRequestCount() const
    {
        return m_coldRequests;
    }

private:
    struct Instance
    {
        std::unique_ptr<InstanceMemory> memory;
        std::unique_ptr<ColdTable> table;
        MonoTime learnsAt{};
        MonoTime learnsUntil{};
        std::vector<std::size_t> toLearn;
        // Parts by upstream, for one generation of the memory.
        std::map<std::size_t, std::size_t> parts;
        std::uint64_t partsGeneration = 0;
        bool arePartsSettled = false;
    };
    struct Upstream
    {
        std::uint64_t key = 0;
        std::uint64_t startedAt = 1;
        MonoTime nextColdAt = MonoTime::max();
        MonoTime coldUntil{};
        int running = 0;
        std::deque<MonoTime> sentWithCompleteInformation;
        std::vector<MonoTime> coldArrivals;
    };
    struct Announcement
    {
        std::size_t from = 0;
        std::size_t upstream = 0;
    };

    static constexpr Milliseconds length{10'000};
    static constexpr Milliseconds coldTime{3000};
    static constexpr Milliseconds warmTime{1000};
    static constexpr Milliseconds serviceTime{200};
    static constexpr int slots = 12;
    static constexpr Milliseconds datagramTime{5};
    /** Time within which a caller honours a Retry-After: a third of a deadline of two seconds. */
    static constexpr Milliseconds maxRetryAfter{666};
    /** Requests arrive up to this much later than they were sent. */
    static constexpr std::uint64_t maxTransferMs = 50;

    [[nodiscard]] bool keepsBudget(std::size_t instance) const
    {
        return m_scenario.withoutBudgetInterval == 0 || instance % m_scenario.withoutBudgetInterval != 0;
    }

    [[nodiscard]] bool hears(std::size_t a, std::size_t b) const
    {
        // Instances announce their placements in their cell only, of which a large fleet has four.
        const std::size_t cells = m_scenario.instances > 96 ? 4 : 1;
        return a % cells == b % cells && (!m_scenario.isPartitioned || isInFirstHalf(a) == isInFirstHalf(b));
    }

    [[nodiscard]] bool isInFirstHalf(std::size_t instance) const
    {
        return instance < m_scenario.instances / 2;
    }

    void reset(std::size_t index, MonoTime startedAt)
    {
        Instance &instance = m_instances[index];
        instance.memory = std::make_unique<InstanceMemory>(m_names[index], startedAt);
        instance.table = std::make_unique<ColdTable>(startedAt);
        instance.parts.clear();
        instance.partsGeneration = 0;
        instance.toLearn.clear();
        for (std::size_t i = 0; i < m_names.size(); ++i) {
            if (i != index) {
                instance.toLearn.push_back(i);
            }
        }
        for (std::size_t i = 0; i < m_scenario.missingInstances; ++i) {
            instance.toLearn.erase(
                instance.toLearn.begin() + static_cast<std::ptrdiff_t>(m_random.below(instance.toLearn.size())));
        }
        for (std::size_t i = instance.toLearn.size(); i > 1; --i) {
            std::swap(instance.toLearn[i - 1], instance.toLearn[m_random.below(i)]);
        }
        instance.learnsAt = startedAt;
        // All instances have sent a full state within a heartbeat interval, 20 ms per peer.
        instance.learnsUntil = startedAt + std::max<Milliseconds>(Milliseconds(500), Milliseconds(20 * m_names.size()));
        for (const Upstream &it : m_upstreams) {
            if (it.coldUntil > startedAt) {
                (void)instance.table->markCold(
                    it.key, it.startedAt, toMilliseconds(it.coldUntil - startedAt), true, startedAt);
            }
        }
    }

    void learn(std::size_t index, MonoTime now)
    {
        Instance &instance = m_instances[index];
        const double share = now >= instance.learnsUntil ? 1
                                                         : std::chrono::duration<double>(now - instance.learnsAt)
                / std::chrono::duration<double>(instance.learnsUntil - instance.learnsAt);
        const std::size_t total = m_names.size() - 1 - m_scenario.missingInstances;
        const auto known = static_cast<std::size_t>(share * static_cast<double>(total));
        while (total - instance.toLearn.size() < known) {
            instance.memory->record(m_names[instance.toLearn.back()], now, now);
            instance.toLearn.pop_back();
        }
    }

    void advance(MonoTime now)
    {
        const auto elapsed = toMilliseconds(now - start);
        if (m_scenario.restartInterval > Milliseconds(0) && elapsed.count() > 0
            && elapsed % m_scenario.restartInterval == Milliseconds(0)) {
            reset(m_random.below(m_instances.size()), now);
        }
        if (elapsed.count() % 250 == 0) {
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                if (!m_instances[i].toLearn.empty()) {
                    learn(i, now);
                }
            }
        }
        for (Upstream &it : m_upstreams) {
            if (it.nextColdAt <= now) {
                it.coldUntil = now + coldTime;
                it.nextColdAt = it.coldUntil + warmTime;
                it.sentWithCompleteInformation.clear();
                for (Instance &instance : m_instances) {
                    (void)instance.table->markCold(it.key, it.startedAt, coldTime, true, now);
                }
            }
        }
        while (!m_ends.empty() && m_ends.begin()->first <= now) {
            --m_upstreams[m_ends.begin()->second].running;
            m_ends.erase(m_ends.begin());
        }
        while (!m_announcements.empty() && m_announcements.begin()->first <= now) {
            const Announcement announced = m_announcements.begin()->second;
            m_announcements.erase(m_announcements.begin());
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                if (i != announced.from && hears(i, announced.from) && !m_random.chance(0.01)) {
                    m_instances[i].table->recordPeerRequest(m_upstreams[announced.upstream].key, now);
                }
            }
        }
    }

    std::size_t part(std::size_t index, std::size_t upstream, MonoTime now)
    {
        Instance &instance = m_instances[index];
        const bool isSettled = instance.memory->isSettled(now);
        if (instance.partsGeneration != instance.memory->generation() || instance.arePartsSettled != isSettled) {
            instance.parts.clear();
            instance.partsGeneration = instance.memory->generation();
            instance.arePartsSettled = isSettled;
        }
        const auto [it, isNew] = instance.parts.try_emplace(upstream, 0);
        if (isNew) {
            it->second
                = coldPart(m_upstreams[upstream].key, m_names[index], {instance.memory->names(), isSettled}, m_budget);
        }
        return it->second;
    }

    /** Returns the time from which the upstream takes a request that arrives at the instance. */
    MonoTime availableAt(std::size_t index, std::size_t upstream, MonoTime now, bool hasCompleteInformation)
    {
        Upstream &it = m_upstreams[upstream];
        if (it.coldUntil <= now || (!hasCompleteInformation && !keepsBudget(index))) {
            return now;
        }
        if (hasCompleteInformation) {
            std::deque<MonoTime> &sent = it.sentWithCompleteInformation;
            while (!sent.empty() && now - sent.front() >= std::chrono::seconds(1)) {
                sent.pop_front();
            }
            const auto most = static_cast<std::size_t>(m_scenario.coldPerSecond * m_scenario.ratio + m_scenario.slack);
            return sent.size() < most ? now : sent[sent.size() - most] + std::chrono::seconds(1);
        }
        return m_instances[index].table->availableAt(it.key, it.startedAt, part(index, upstream, now), m_budget, now);
    }

    /**
     * Places one request that arrives at an instance; returns whether it was served. All instances fill the upstreams
     * in the same order, with those that become cold first, which is the worst case for their budget.
     */
    bool attempt(MonoTime now, std::size_t index, bool hasCompleteInformation, bool mayRetry)
    {
        std::optional<std::size_t> chosen;
        MonoTime firstAvailableAt = MonoTime::max();
        for (std::size_t i = 0; i < m_upstreams.size() && !chosen; ++i) {
            const MonoTime at = availableAt(index, i, now, hasCompleteInformation);
            if (at > now) {
                firstAvailableAt = std::min(firstAvailableAt, at);
            } else if (m_upstreams[i].running < slots) {
                chosen = i;
            }
        }
        if (!chosen) {
            constexpr Milliseconds minRetryAfter{200};
            const Milliseconds retryAfter = firstAvailableAt == MonoTime::max()
                ? minRetryAfter
                : std::max(minRetryAfter, std::chrono::ceil<Milliseconds>(firstAvailableAt - now));
            if (mayRetry && retryAfter <= maxRetryAfter) {
                m_retries.emplace(now + retryAfter, 0);
            }
            return false;
        }
        Upstream &it = m_upstreams[*chosen];
        ++it.running;
        m_ends.emplace(now + serviceTime, *chosen);
        if (it.coldUntil > now) {
            it.sentWithCompleteInformation.push_back(now);
            ++m_coldRequests;
            if (keepsBudget(index)) {
                it.coldArrivals.push_back(now + Milliseconds(m_random.below(maxTransferMs + 1)));
            }
        }
        m_instances[index].table->recordRequest(it.key, now);
        m_announcements.emplace(now + datagramTime, Announcement{index, *chosen});
        return true;
    }

    Scenario m_scenario;
    Random m_random;
    // Of its own, so that the same callers come to both placements.
    Random m_arrivalRandom;
    std::vector<std::string> m_names;
    ColdBudget m_budget;
    std::vector<Upstream> m_upstreams;
    std::vector<Instance> m_instances;
    std::multimap<MonoTime, std::size_t> m_ends;
    std::multimap<MonoTime, int> m_retries;
    std::multimap<MonoTime, Announcement> m_announcements;
    int m_coldRequests = 0;
};

Result play(const Scenario &scenario, std::uint64_t seed)
{
    Result result;
    Simulation own(scenario, seed);
    result.served = own.run(false);
    result.maxInSecond = own.maxInSecond();
    result.coldRequests = own.coldRequestCount();
    result.servedWithCompleteInformation = Simulation(scenario, seed).run(true);
    return result;
}

/** Plays the scenario at 6, 77 and 295 instances with 6, 54 and 207 upstreams, and checks the page's two bounds. */
void checkScenario(Scenario scenario)
{
    const std::uint64_t seed = testSeed();
    for (const auto &[instances, upstreams] : {std::pair<std::size_t, std::size_t>{6, 6}, {77, 54}, {295, 207}}) {
        scenario.instances = instances;
        scenario.upstreams = upstreams;
        const Result result = play(scenario, seed);
        const double bound = scenario.coldPerSecond * scenario.ratio + scenario.slack;
        std::cout << scenario.name << ", bound " << bound << ", " << instances << " instances: most in a second "
                  << result.maxInSecond << ", served " << result.served << " of "
                  << result.servedWithCompleteInformation << ", on cold upstreams " << result.coldRequests << '\n';
        INFO(instances << " instances, " << result.served << " served, " << result.servedWithCompleteInformation
                       << " with complete information, " << result.coldRequests << " on cold upstreams");
        CHECK(static_cast<double>(result.maxInSecond) <= bound);
        CHECK(result.served >= 0.9 * result.servedWithCompleteInformation);
    }
}

/** Checks the scenario with the budgets 18 x 1.5 + 5, 2 x 1.5 + 5 and 1 x 1.5 + 0. */
void checkBudgets(Scenario scenario)
{
    checkScenario(scenario);
    scenario.coldPerSecond = 2;
    checkScenario(scenario);
    scenario.coldPerSecond = 1;
    scenario.slack = 0;
    checkScenario(scenario);
}

} // namespace

TEST_CASE("a third of the upstreams being cold neither passes their budget nor costs callers")
{
    Scenario scenario;
    scenario.name = "a third cold";
    scenario.isColdAtOnce = false;
    checkBudgets(scenario);
}

TEST_CASE("the upstreams of a data centre that come back cold at once get no more than their budget")
{
    Scenario scenario;
    scenario.name = "a data centre comes back";
    scenario.coldFrom = Milliseconds(2500);
    checkBudgets(scenario);
}

TEST_CASE("halves of a fleet that do not hear each other keep one budget together")
{
    Scenario scenario;
    scenario.name = "halves";
    scenario.isPartitioned = true;
    checkBudgets(scenario);
}

TEST_CASE("instances that all start at once keep the budget of cold upstreams")
{
    Scenario scenario;
    scenario.name = "all started";
    scenario.isStarting = true;
    checkBudgets(scenario);
}

TEST_CASE("views of the fleet that differ by a few instances do not pass the budget")
{
    Scenario scenario;
    scenario.name = "views differ by three";
    scenario.missingInstances = 3;
    checkBudgets(scenario);
}

TEST_CASE("instances that restart again and again do not send their part twice")
{
    Scenario scenario;
    scenario.name = "restarts";
    scenario.restartInterval = Milliseconds(100);
    checkBudgets(scenario);
}

TEST_CASE("instances that keep the budget stay within it beside peers that keep none")
{
    Scenario scenario;
    scenario.name = "every third without budget";
    scenario.withoutBudgetInterval = 3;
    checkBudgets(scenario);
}

TEST_CASE("callers are served while all upstreams are cold")
{
    Scenario scenario;
    scenario.name = "all cold";
    scenario.coldShare = 1;
    checkScenario(scenario);
}

TEST_CASE("the users of a cold upstream stay within its budget by every view that lacks as many instances as it allows")
{
    Random random(testSeed());
    for (const auto &[perSecond, slack] : {std::pair{18.0, 5.0}, {2.0, 5.0}, {1.0, 0.0}, {1.0, 1.0}, {4.0, 0.0}}) {
        const ColdBudget budget = coldBudget(perSecond, 1.5, slack);
        for (const std::size_t instances : {2U, 6U, 20U, 33U, 77U, 295U}) {
            const std::vector<std::string> names = instanceNames(instances);
            for (std::uint64_t upstream = 1; upstream <= 40; ++upstream) {
                std::size_t total = 0;
                for (const std::string &self : names) {
                    std::vector<std::string> view = names;
                    for (std::size_t i = 0; i < budget.viewSlack && view.size() > 1; ++i) {
                        const std::size_t gone = random.below(view.size());
                        if (view[gone] != self) {
                            view.erase(view.begin() + static_cast<std::ptrdiff_t>(gone));
                        }
                    }
                    total += coldPart(upstream, self, {view, true}, budget);
                }
                REQUIRE(static_cast<double>(total) <= perSecond * 1.5 + slack);
            }
        }
    }
}

TEST_CASE("instances without a settled view stay within the budget of every upstream, all of them and beside others")
{
    for (const auto &[perSecond, slack] : {std::pair{18.0, 5.0}, {2.0, 5.0}, {1.0, 0.0}, {3.0, 0.0}}) {
        const ColdBudget budget = coldBudget(perSecond, 1.5, slack);
        for (const std::size_t instances : {6U, 77U, 330U}) {
            const std::vector<std::string> names = instanceNames(instances);
            for (std::uint64_t upstream = 1; upstream <= 200; ++upstream) {
                std::size_t unsettled = 0;
                std::size_t mixed = 0;
                for (std::size_t i = 0; i < instances; ++i) {
                    unsettled += coldPart(upstream, names[i], {names, false}, budget);
                    mixed += coldPart(upstream, names[i], {names, i % 2 == 0}, budget);
                }
                REQUIRE(static_cast<double>(unsettled) <= perSecond * 1.5 + slack);
                REQUIRE(static_cast<double>(mixed) <= perSecond * 1.5 + slack);
            }
        }
    }
}

TEST_CASE("a budget that is no number or below one request has no users")
{
    const std::vector<std::string> names = instanceNames(3);
    for (const double perSecond : {0.0, 0.5, -3.0, std::nan(""), 1.0}) {
        const ColdBudget budget = coldBudget(perSecond, 1.5, 0);
        CHECK(budget.maxUsers == 0);
        CHECK(coldPart(1, names[0], {names, true}, budget) == 0);
    }
    CHECK(coldBudget(2, 1.5, 5).maxRequests == 8);
    CHECK(coldBudget(1e300, 1e300, 0).maxUsers > 0);
}

TEST_CASE("an upstream that is not cold takes requests at any rate")
{
    ColdTable table(start);
    const ColdBudget budget = coldBudget(18, 1.5, 5);
    for (int i = 0; i < 100; ++i) {
        table.recordRequest(1, start);
    }
    CHECK(table.availableAt(1, 7, 0, budget, start) == start);
    CHECK_FALSE(table.isCold(1, 7, start));
}

TEST_CASE("a cold upstream takes the part of an instance in every window and is warm at its end")
{
    const MonoTime now = start + Milliseconds(5000);
    ColdTable table(start);
    const ColdBudget budget = coldBudget(18, 1.5, 5);
    CHECK(table.markCold(1, 7, Milliseconds(3000), true, now));
    CHECK_FALSE(table.markCold(1, 7, Milliseconds(2000), true, now));
    CHECK(table.availableAt(1, 7, 0, budget, now) == now + Milliseconds(3000));
    CHECK(table.availableAt(1, 7, 2, budget, now) == now);
    table.recordRequest(1, now);
    CHECK(table.availableAt(1, 7, 1, budget, now) == now + coldWindow);
    CHECK(table.availableAt(1, 7, 2, budget, now) == now);
    table.recordRequest(1, now + Milliseconds(200));
    CHECK(table.availableAt(1, 7, 2, budget, now + Milliseconds(300)) == now + coldWindow);
    CHECK(table.availableAt(1, 7, 2, budget, now + coldWindow) == now + coldWindow);
    CHECK(table.availableAt(1, 7, 0, budget, now + Milliseconds(3000)) == now + Milliseconds(3000));
    // Another run is not cold.
    CHECK(table.availableAt(1, 8, 0, budget, now) == now);
}

TEST_CASE("requests that peers announce are deducted from the budget")
{
    const MonoTime now = start + Milliseconds(5000);
    ColdTable table(start);
    const ColdBudget budget = coldBudget(18, 1.5, 5);
    (void)table.markCold(1, 7, Milliseconds(3000), true, now);
    for (std::size_t i = 0; i < budget.maxUsers; ++i) {
        CHECK(table.availableAt(1, 7, 1, budget, now) == now);
        table.recordPeerRequest(1, now);
    }
    CHECK(table.availableAt(1, 7, 1, budget, now) == now + coldWindow);
}

TEST_CASE("an instance that has just started sends nothing to a cold upstream for the time of a window")
{
    ColdTable table(start);
    const ColdBudget budget = coldBudget(18, 1.5, 5);
    (void)table.markCold(1, 7, Milliseconds(3000), true, start);
    CHECK(table.availableAt(1, 7, 1, budget, start) == start + coldWindow);
}

TEST_CASE("an upstream that could not be reached counts as cold until it answers or is forgotten")
{
    ColdTable table(start - Milliseconds(5000));
    table.markUnreachable(1, 7, start);
    CHECK(table.isCold(1, 7, start));
    CHECK_FALSE(table.clearUnreachable(1, 8));
    CHECK(table.clearUnreachable(1, 7));
    CHECK_FALSE(table.clearUnreachable(1, 7));
    CHECK_FALSE(table.isCold(1, 7, start));
    table.markUnreachable(1, 7, start);
    CHECK_FALSE(table.isCold(1, 7, start + Milliseconds(10'000)));
}

TEST_CASE("what peers have told is not passed on, and the end of a cold time is reported once")
{
    ColdTable table(start);
    (void)table.markCold(1, 7, Milliseconds(3000), false, start);
    CHECK(table.ownEvidence(start).empty());
    (void)table.markCold(1, 7, Milliseconds(1000), true, start);
    REQUIRE(table.ownEvidence(start).size() == 1);
    CHECK(table.ownEvidence(start).front().until == start + Milliseconds(1000));
    CHECK(table.coldCount(start) == 1);
    CHECK(table.expire(start + Milliseconds(2999)).empty());
    CHECK(table.expire(start + Milliseconds(3000)).size() == 1);
    CHECK(table.expire(start + Milliseconds(3000)).empty());
}

TEST_CASE("an instance that is silent without having announced its end stays known for an hour")
{
    InstanceMemory memory("self", start);
    CHECK_FALSE(memory.isSettled(start + Milliseconds(10'000)));
    memory.record("peer", start, start);
    memory.record("other", start, start);
    memory.record("self", start, start);
    memory.remove("other");
    CHECK(memory.names() == std::vector<std::string>{"peer", "self"});
    CHECK_FALSE(memory.isSettled(start + Milliseconds(2999)));
    CHECK(memory.isSettled(start + Milliseconds(3000)));
    memory.prune(start + Milliseconds(3'599'999));
    CHECK(memory.names().size() == 2);
    memory.prune(start + Milliseconds(3'600'000));
    CHECK(memory.names() == std::vector<std::string>{"self"});
}

TEST_CASE("a view in which many instances have just become known is not settled")
{
    InstanceMemory memory("self", start);
    memory.record("p0", start, start);
    const MonoTime later = start + Milliseconds(20'000);
    memory.record("p1", later, later);
    memory.record("p2", later, later);
    CHECK(memory.isSettled(later));
    memory.record("p3", later, later);
    CHECK_FALSE(memory.isSettled(later));
    CHECK(memory.isSettled(later + Milliseconds(3000)));
}
