// Simulation of entries, engines and faults.
#include "orders/tests/orderfleet.h"

#include "orders/fencing.h"

#include <algorithm>

namespace magnolia::orders::tests
{

namespace
{

constexpr Milliseconds pollInterval{900};
constexpr Milliseconds reconcileInterval{1000};
/** An order sent later than this after its last check was delayed by a pause. */
constexpr Milliseconds lateThreshold{500};
const std::vector<std::string> entryNames{"a", "b", "c", "d"};

} // namespace

struct OrderFleet::Process
{
    Process(std::string entry, std::uint64_t number, const OrderParameters &parameters)
        : name(std::move(entry))
        , incarnation(number)
        , planner(InstanceId(name), parameters)
    {
    }

    std::string name;
    std::uint64_t incarnation;
    EngineOrderPlanner planner;
    OrderView view;
};

OrderFleet::OrderFleet(std::uint64_t seed, OrderFleetOptions options)
    : m_options(options)
    , m_schedule(seed)
{
    m_versions.push_back({m_schedule.now(), 1, {"a", "b", "c"}});
    m_configurations.emplace_back();
    for (const char *engine :
        {"checks-1", "checks-2", "checks-3", "checks-4", "ignores-1", "ignores-2", "ignores-3", "ignores-4"}) {
        m_engines[engine].state.checksFencing = std::string(engine).starts_with("checks");
        m_configurations.back().versions[engine] = "v0";
    }
    for (const std::string &entry : entryNames) {
        const auto width = static_cast<std::uint64_t>(2 * m_options.clockError.count() + 1);
        m_clockErrors[entry] = Milliseconds(m_schedule.random().below(width)) - m_options.clockError;
    }
    for (const char *entry : {"a", "b", "c"}) {
        start(entry);
    }
}

OrderFleet::~OrderFleet() = default;

ClockReading OrderFleet::time(const std::string &entry)
{
    return {m_schedule.wallNow() + m_clockErrors[entry], m_schedule.now()};
}

Milliseconds OrderFleet::randomTime(Milliseconds from, Milliseconds to)
{
    return from + Milliseconds(m_schedule.random().below(static_cast<std::uint64_t>((to - from).count()) + 1));
}

std::string OrderFleet::randomEntry()
{
    return entryNames[m_schedule.random().below(entryNames.size())];
}

void OrderFleet::start(const std::string &entry)
{
    m_pausedUntil[entry] = m_schedule.now();
    m_processes[entry] = std::make_unique<Process>(entry, m_nextIncarnation++, m_options.parameters);
    poll(entry);
    reconcileEngines(entry);
}

void OrderFleet::onProcess(const std::string &entry, Milliseconds delay, std::function<void(Process &)> step)
{
    const auto it = m_processes.find(entry);
    if (it == m_processes.end()) {
        return;
    }
    const std::uint64_t incarnation = it->second->incarnation;
    m_schedule.after(delay, [this, entry, incarnation, step = std::move(step)] {
        const auto process = m_processes.find(entry);
        if (process == m_processes.end() || process->second->incarnation != incarnation) {
            return;
        }
        const MonoTime pausedUntil = m_pausedUntil[entry];
        if (pausedUntil > m_schedule.now()) {
            const Milliseconds wait = toMilliseconds(pausedUntil - m_schedule.now());
            onProcess(entry, wait + Milliseconds(m_schedule.random().below(20)), step);
            return;
        }
        step(*process->second);
    });
}

void OrderFleet::poll(const std::string &entry)
{
    const bool isStale = m_options.maxFaults > 0 && m_schedule.random().chance(0.1);
    const Milliseconds lag = randomTime(Milliseconds(0), Milliseconds(isStale ? 6000 : 300));
    const MonoTime asOf = std::max(MonoTime{}, m_schedule.now() - lag);
    if (m_listCutUntil[entry] <= m_schedule.now()) {
        auto version = m_versions.rbegin();
        while (version->since > asOf) {
            ++version;
        }
        PublishedList list;
        list.revision = version->revision;
        const Milliseconds timestampError = randomTime(Milliseconds(0), m_options.parameters.maxTimestampLag);
        list.generatedAt
            = m_schedule.wallNow() - toMilliseconds(m_schedule.now() - asOf) + std::min(timestampError, lag);
        for (const std::string &id : version->members) {
            PublishedInstance instance;
            instance.id = id;
            list.instances.push_back(instance);
        }
        onProcess(entry, randomTime(Milliseconds(1), Milliseconds(200)), [this, list](Process &process) {
            process.planner.applyList(list, time(process.name));
        });
    }
    onProcess(entry, pollInterval, [this, entry](Process &process) {
        readConfiguration(process);
        poll(entry);
    });
}

void OrderFleet::readConfiguration(Process &process)
{
    const MonoTime asOf = std::max(MonoTime{}, m_schedule.now() - randomTime(Milliseconds(0), Milliseconds(1000)));
    if (m_configurationCutUntil[process.name] <= m_schedule.now()) {
        std::uint64_t newest = m_configurations.size();
        while (m_configurations[newest - 1].since > asOf) {
            --newest;
        }
        process.view.configuration = std::max(process.view.configuration, Revision(newest));
        process.view.configurationConfirmedAt = std::max(process.view.configurationConfirmedAt, asOf);
    }
    process.view.reachablePeerCount = 0;
    for (const auto &[name, peer] : m_processes) {
        const bool isCut = m_partition.contains(name) != m_partition.contains(process.name);
        process.view.reachablePeerCount
            += name != process.name && !isCut && m_pausedUntil[name] <= m_schedule.now() ? 1 : 0;
    }
    process.planner.setView(process.view);
}

void OrderFleet::reconcileEngines(const std::string &entry)
{
    onProcess(entry, reconcileInterval, [this, entry](Process &process) {
        for (auto &[engine, record] : m_engines) {
            if (process.planner.isOwner(UpstreamId(engine), time(entry))) {
                recordOwner(entry, record);
                planOrder(process, engine);
            }
        }
        reconcileEngines(entry);
    });
}

void OrderFleet::planOrder(Process &process, const std::string &engine)
{
    const EngineState report = m_engines[engine].state;
    onProcess(process.name, randomTime(Milliseconds(1), Milliseconds(30)), [this, engine, report](Process &it) {
        const UpstreamId id(engine);
        it.planner.recordReport(id, report, time(it.name));
        const std::uint64_t configuration = it.view.configuration.count();
        if (configuration == 0) {
            return;
        }
        const auto due = it.planner.dueOrder(id, desired(engine, configuration), time(it.name));
        if (!due || !*due) {
            return;
        }
        pauseRandomly(it.name);
        const OrderInTransit transit{engine, **due, configuration, {}};
        onProcess(it.name, randomTime(Milliseconds(1), Milliseconds(20)), [this, transit](Process &process) {
            confirmOrder(process, transit);
        });
    });
}

void OrderFleet::confirmOrder(Process &process, OrderInTransit transit)
{
    if (!process.planner.confirmDispatch(UpstreamId(transit.engine), transit.order, time(process.name))) {
        return;
    }
    recordOwner(process.name, m_engines[transit.engine]);
    transit.confirmedAt = m_schedule.now();
    pauseRandomly(process.name);
    onProcess(process.name, randomTime(Milliseconds(0), Milliseconds(3)), [this, transit](Process &) {
        m_schedule.after(randomTime(Milliseconds(0), Milliseconds(30)), [this, transit] {
            deliver(transit);
        });
    });
}

void OrderFleet::recordOwner(const std::string &entry, Engine &engine)
{
    const bool isNew = !engine.lastOwner.empty() && engine.lastOwner != entry;
    const Milliseconds minGap = m_options.parameters.maxClockSkew + m_options.parameters.configurationValidity;
    if (isNew && m_schedule.now() - engine.lastOwnedAt <= minGap) {
        m_violations.emplace_back("an engine changed its owner without the required gap");
    }
    engine.lastOwner = entry;
    engine.lastOwnedAt = m_schedule.now();
}

void OrderFleet::deliver(const OrderInTransit &transit)
{
    Engine &engine = m_engines[transit.engine];
    const bool isLate = m_schedule.now() - transit.confirmedAt > lateThreshold;
    m_lateOrders += isLate ? 1 : 0;
    if (engine.state.checksFencing && transit.order.fencing < engine.state.highestFencing) {
        ++m_rejectedOrders;
        return;
    }
    ++m_acceptedOrders;
    engine.lateOrders += isLate ? 1 : 0;
    if (engine.state.checksFencing && transit.configuration < engine.acceptedConfiguration) {
        m_violations.emplace_back("an engine that checks fencing numbers returned to an older configuration");
    }
    engine.acceptedConfiguration = std::max(engine.acceptedConfiguration, transit.configuration);
    if (!isLate) {
        if (transit.configuration < engine.acceptedOnTime) {
            m_violations.emplace_back("an order without delay returned an engine to an older configuration");
        }
        engine.acceptedOnTime = std::max(engine.acceptedOnTime, transit.configuration);
    }
    if (engine.state.checksFencing) {
        engine.state.highestFencing = transit.order.fencing;
    }
    if (engine.state.current != transit.order.desired) {
        engine.state.current = transit.order.desired;
        ++engine.changes;
        m_weightLoads.push_back({m_schedule.now(), isLate});
    }
    if (engine.changes > engine.desiredChanges + 2 * engine.lateOrders) {
        m_violations.emplace_back("an engine changed its state more often than its desired state changed");
    }
}

DesiredState OrderFleet::desired(const std::string &engine, std::uint64_t configuration) const
{
    return {ModelId("m"), m_configurations[configuration - 1].versions.at(engine), "serve"};
}

void OrderFleet::publishConfiguration()
{
    Configuration next = m_configurations.back();
    next.since = m_schedule.now();
    for (auto &[engine, version] : next.versions) {
        if (m_schedule.random().chance(0.6)) {
            version = "v" + std::to_string(m_configurations.size());
            ++m_engines[engine].desiredChanges;
        }
    }
    m_configurations.push_back(std::move(next));
}

void OrderFleet::setListed(const std::string &entry, bool isListed)
{
    std::set<std::string> members = m_versions.back().members;
    if (isListed) {
        members.insert(entry);
    } else {
        members.erase(entry);
    }
    m_versions.push_back({m_schedule.now(), m_versions.back().revision + 1, std::move(members)});
}

void OrderFleet::pauseRandomly(const std::string &entry)
{
    if (m_schedule.random().chance(m_options.pauseChance)) {
        m_pausedUntil[entry] = m_schedule.now() + randomTime(Milliseconds(1), Milliseconds(30'000));
    }
}

void OrderFleet::injectRandomFault()
{
    const std::string entry = randomEntry();
    const Milliseconds duration = randomTime(Milliseconds(500), Milliseconds(15'000));
    switch (m_schedule.random().below(7)) {
    case 0: // A restart, which the list may or may not show.
        m_processes.erase(entry);
        if (m_schedule.random().chance(0.5)) {
            setListed(entry, false);
        }
        m_schedule.after(duration, [this, entry] {
            if (!m_processes.contains(entry)) {
                start(entry);
            }
            setListed(entry, true);
        });
        break;
    case 1:
        setListed(entry, !m_versions.back().members.contains(entry));
        break;
    case 2:
        m_pausedUntil[entry] = m_schedule.now() + duration;
        break;
    case 3: // A partition that may also cut off the list and the configuration.
        m_partition = {entry, randomEntry()};
        for (const std::string &it : m_partition) {
            m_listCutUntil[it] = m_schedule.now() + (m_schedule.random().chance(0.5) ? duration : Milliseconds(0));
            m_configurationCutUntil[it] = m_schedule.now() + duration;
        }
        m_schedule.after(duration, [this] {
            m_partition.clear();
        });
        break;
    case 4:
        m_configurationCutUntil[entry] = m_schedule.now() + 2 * duration;
        break;
    case 5:
        m_listCutUntil[entry] = m_schedule.now() + duration;
        break;
    default:
        publishConfiguration();
        break;
    }
}

void OrderFleet::runRandomFaults()
{
    const auto faults = 1 + m_schedule.random().below(static_cast<std::uint64_t>(m_options.maxFaults) + 1);
    for (std::uint64_t i = 0; i < faults; ++i) {
        m_schedule.after(randomTime(Milliseconds(15'000), m_options.faultsUntil), [this] {
            injectRandomFault();
        });
    }
    for (int i = 0; i < 3; ++i) {
        m_schedule.after(randomTime(Milliseconds(15'000), m_options.faultsUntil), [this] {
            publishConfiguration();
        });
    }
    m_schedule.after(m_options.faultsUntil, [this] {
        m_versions.push_back({m_schedule.now(), m_versions.back().revision + 1, {"a", "b", "c"}});
        for (const char *entry : {"a", "b", "c"}) {
            if (!m_processes.contains(entry)) {
                start(entry);
            }
        }
        m_options.pauseChance = 0;
    });
    m_schedule.runFor(m_options.horizon);
    checkFinalState();
}

void OrderFleet::checkFinalState()
{
    for (const auto &[name, engine] : m_engines) {
        if (engine.state.current != desired(name, m_configurations.size())) {
            m_violations.emplace_back("an engine did not reach its desired state");
        }
    }
    checkWeightStore();
}

void OrderFleet::checkWeightStore()
{
    const WeightStoreLimit &limit = m_options.parameters.weightStore;
    std::size_t begin = 0;
    std::size_t late = 0;
    for (std::size_t i = 0; i < m_weightLoads.size(); ++i) {
        late += m_weightLoads[i].isLate ? 1 : 0;
        while (m_weightLoads[i].time - m_weightLoads[begin].time >= limit.window) {
            late -= m_weightLoads[begin].isLate ? 1 : 0;
            ++begin;
        }
        const std::size_t onTime = i - begin + 1 - late;
        if (onTime + limit.reservedLoads > limit.maxLoads) {
            m_violations.emplace_back("the weight store's limit was exceeded");
            return;
        }
    }
}

} // namespace magnolia::orders::tests
