// The simulated instances: reading of lists, steps of an attempt, and reports to callers.
#include "idempotency/tests/fleet.h"

#include "idempotency/uuidv7.h"

namespace magnolia::idempotency::tests
{

namespace
{

constexpr Milliseconds pollInterval{300};
constexpr Milliseconds tickInterval{250};

} // namespace

class Fleet::Transport : public IHandoverTransport
{
public:
    Transport(Fleet &fleet, std::string self)
        : m_fleet(fleet)
        , m_self(std::move(self))
    {
    }
    void send(const InstanceId &receiver, const HandoverPart &part) override
    {
        ++m_fleet.m_counts.handoverParts;
        m_fleet.m_handovers.send(m_self, receiver.value(), {part});
    }
    void send(const InstanceId &sender, const HandoverAck &ack) override
    {
        m_fleet.m_handovers.send(m_self, sender.value(), {ack});
    }
    void send(const InstanceId &owner, const HandedOverKey &finishedKey) override
    {
        m_fleet.m_handovers.send(m_self, owner.value(), {finishedKey});
    }

private:
    Fleet &m_fleet;
    std::string m_self;
};

struct Fleet::Process
{
    Process(Fleet &fleet, const std::string &instance, std::uint64_t number, WallTime now)
        : name(instance)
        , incarnation(number)
        , transport(fleet, instance)
        , controller(InstanceId(instance), Incarnation(number), now, fleet.m_options.parameters, transport)
    {
    }

    std::string name;
    std::uint64_t incarnation;
    Transport transport;
    KeyController controller;
};

FleetCounts &FleetCounts::operator+=(const FleetCounts &other)
{
    attempts += other.attempts;
    executions += other.executions;
    refusedTooNew += other.refusedTooNew;
    relayed += other.relayed;
    replayed += other.replayed;
    reportedNotRun += other.reportedNotRun;
    handoverParts += other.handoverParts;
    return *this;
}

Fleet::Fleet(std::uint64_t seed, FleetOptions options)
    : m_options(options)
    , m_schedule(seed)
    , m_relays(m_schedule, {options.relayLossChance, 0, Milliseconds(1), Milliseconds(20)})
    , m_handovers(m_schedule, options.handoverLink)
{
    m_versions.push_back({m_schedule.now(), 1, {"a", "b", "c"}});
    for (const char *instance : {"a", "b", "c", "d"}) {
        const auto width = static_cast<std::uint64_t>(2 * m_options.maxClockError.count() + 1);
        m_clockErrors[instance] = Milliseconds(m_schedule.random().below(width)) - m_options.maxClockError;
    }
    for (const char *instance : {"a", "b", "c"}) {
        start(instance);
    }
}

Fleet::~Fleet() = default;

WallTime Fleet::wallNow(const std::string &instance)
{
    return m_schedule.wallNow() + m_clockErrors[instance];
}

void Fleet::start(const std::string &instance)
{
    m_pausedUntil[instance] = m_schedule.now();
    m_processes[instance] = std::make_unique<Process>(*this, instance, m_nextIncarnation++, wallNow(instance));
    m_relays.attach(instance, [this, instance](const std::string &, const RelayMessage &message) {
        onProcess(instance, Milliseconds(0), [this, message](Process &process) {
            handle(process, message.attempt, true);
        });
    });
    m_handovers.attach(instance, [this, instance](const std::string &, const HandoverMessage &message) {
        onProcess(instance, Milliseconds(0), [message](Process &process) {
            std::visit(
                [&process](const auto &content) {
                    process.controller.receive(content);
                },
                message.content);
        });
    });
    poll(instance);
    tick(instance);
}

void Fleet::kill(const std::string &instance)
{
    m_processes.erase(instance);
    m_relays.detach(instance);
    m_handovers.detach(instance);
}

void Fleet::pause(const std::string &instance, Milliseconds duration)
{
    m_pausedUntil[instance] = std::max(m_pausedUntil[instance], m_schedule.now() + duration);
}

void Fleet::stopOwning(const std::string &instance)
{
    onProcess(instance, Milliseconds(0), [this](Process &process) {
        process.controller.stopOwning(wallNow(process.name));
    });
}

void Fleet::publish(std::set<std::string> members)
{
    m_versions.push_back({m_schedule.now(), m_versions.back().revision + 1, std::move(members)});
}

void Fleet::onProcess(const std::string &instance, Milliseconds delay, std::function<void(Process &)> step)
{
    const auto it = m_processes.find(instance);
    if (it == m_processes.end()) {
        return;
    }
    const std::uint64_t incarnation = it->second->incarnation;
    m_schedule.after(delay, [this, instance, incarnation, step = std::move(step)] {
        const auto process = m_processes.find(instance);
        if (process == m_processes.end() || process->second->incarnation != incarnation) {
            return;
        }
        const MonoTime pausedUntil = m_pausedUntil[instance];
        if (pausedUntil > m_schedule.now()) {
            // After a pause, the delayed steps run in random order.
            const Milliseconds wait = toMilliseconds(pausedUntil - m_schedule.now());
            onProcess(instance, wait + Milliseconds(m_schedule.random().below(20)), step);
            return;
        }
        step(*process->second);
    });
}

void Fleet::poll(const std::string &instance)
{
    testing::Schedule &it = m_schedule;
    const bool isStale = m_options.maxFaults > 0 && it.random().chance(0.1);
    const Milliseconds lag = randomTime(Milliseconds(0), Milliseconds(isStale ? 6000 : 300));
    const MonoTime asOf = std::max(MonoTime{}, it.now() - lag);
    const bool isCut = m_platformCutUntil[instance] > it.now();
    if (!isCut) {
        auto version = m_versions.rbegin();
        while (version->since > asOf) {
            ++version;
        }
        PublishedList list;
        list.revision = version->revision;
        const Milliseconds timestampError = randomTime(Milliseconds(0), m_options.parameters.maxContentLag);
        list.generatedAt = it.wallNow() - toMilliseconds(it.now() - asOf) + std::min(timestampError, lag);
        for (const std::string &id : version->members) {
            PublishedInstance item;
            item.id = id;
            list.instances.push_back(item);
        }
        // The answer has a random delay, so the answers for one reader may arrive out of order.
        const Milliseconds travel = randomTime(Milliseconds(1), Milliseconds(200));
        onProcess(instance, travel, [this, list](Process &process) {
            process.controller.applyList(list, wallNow(process.name));
        });
    }
    onProcess(instance, pollInterval, [this, instance](Process &) {
        poll(instance);
    });
}

void Fleet::tick(const std::string &instance)
{
    onProcess(instance, tickInterval, [this, instance](Process &process) {
        process.controller.tick(wallNow(instance));
        tick(instance);
    });
}

std::size_t Fleet::createKey(Milliseconds callerClockError)
{
    const IdempotencyKey key = makeKey(m_schedule.wallNow() + callerClockError, m_schedule.random());
    m_keys.push_back({{OrganisationId("o"), key}, 0, false});
    return m_keys.size() - 1;
}

void Fleet::sendAttempt(std::size_t key, const std::string &instance)
{
    ++m_counts.attempts;
    m_attempts.push_back({key, false});
    const std::size_t attempt = m_attempts.size() - 1;
    onProcess(instance, randomTime(Milliseconds(0), Milliseconds(5)), [this, attempt](Process &process) {
        handle(process, attempt, false);
    });
}

void Fleet::handle(Process &process, std::size_t attempt, bool isRelayed)
{
    const KeyedRequest request{m_keys[m_attempts[attempt].key].name, 7, isRelayed};
    const BeginDecision decision = process.controller.begin(request, wallNow(process.name));
    if (const auto *run = std::get_if<RunLocally>(&decision)) {
        pauseOrCrashRandomly(process.name);
        const Permit permit = run->permit;
        onProcess(process.name, randomTime(Milliseconds(1), Milliseconds(20)), [this, attempt, permit](Process &it) {
            dispatch(it, attempt, permit);
        });
    } else if (const auto *relay = std::get_if<RelayTo>(&decision)) {
        ++m_counts.relayed;
        m_relays.send(process.name, relay->owner.value(), {attempt});
    } else if (std::holds_alternative<Replay>(decision)) {
        ++m_counts.replayed;
        reportRan(attempt);
    } else {
        reportRefusal(attempt, std::get<KeyRefusal>(decision));
    }
}

void Fleet::dispatch(Process &process, std::size_t attempt, const Permit &permit)
{
    const bool isConnectFailed = m_schedule.random().chance(m_options.connectFailureChance);
    if (isConnectFailed && m_schedule.random().chance(0.5)) {
        process.controller.abandon(permit);
        reportNotRun(attempt, false);
        return;
    }
    const WallTime now = wallNow(process.name);
    if (isConnectFailed) {
        const KeyCheck check = process.controller.closeNotRun(permit, now);
        reportNotRun(attempt, check.has_value());
        return;
    }
    if (const KeyCheck check = process.controller.confirmDispatch(permit, now); !check) {
        reportRefusal(attempt, check.error());
        return;
    }
    pauseOrCrashRandomly(process.name);
    onProcess(process.name, randomTime(Milliseconds(0), Milliseconds(3)), [this, attempt, permit](Process &it) {
        write(it, attempt, permit);
    });
}

void Fleet::write(Process &process, std::size_t attempt, const Permit &permit)
{
    // Sent bytes reach the upstream even if the instance crashes now.
    const Milliseconds travel = randomTime(Milliseconds(0), Milliseconds(30));
    if (m_schedule.random().chance(m_options.upstreamRefusalChance)) {
        pauseOrCrashRandomly(process.name);
        const Milliseconds answer = travel + randomTime(Milliseconds(1), Milliseconds(2000));
        onProcess(process.name, answer, [this, attempt, permit](Process &it) {
            handleUpstreamRefusal(it, attempt, permit);
        });
        return;
    }
    m_schedule.after(travel, [this, attempt] {
        execute(attempt);
    });
    pauseOrCrashRandomly(process.name);
    const Milliseconds answer = travel + randomTime(Milliseconds(1), Milliseconds(2000));
    const bool isLost = m_schedule.random().chance(0.1);
    onProcess(process.name, answer, [this, attempt, permit, isLost](Process &it) {
        if (isLost) {
            it.controller.loseAnswer(permit);
            return;
        }
        it.controller.complete(permit, {200, "text/plain", "done"});
        reportRan(attempt);
    });
}

void Fleet::handleUpstreamRefusal(Process &process, std::size_t attempt, const Permit &permit)
{
    process.controller.retract(permit);
    pauseOrCrashRandomly(process.name);
    if (m_schedule.random().chance(0.5)) {
        // Retries at another upstream.
        onProcess(process.name, randomTime(Milliseconds(1), Milliseconds(20)), [this, attempt, permit](Process &it) {
            dispatch(it, attempt, permit);
        });
        return;
    }
    const KeyCheck check = process.controller.closeNotRun(permit, wallNow(process.name));
    reportNotRun(attempt, check.has_value());
}

void Fleet::execute(std::size_t attempt)
{
    ++m_counts.executions;
    Key &key = m_keys[m_attempts[attempt].key];
    if (++key.executions > 1) {
        m_violations.emplace_back("the request of a key ran twice");
    }
    if (key.isReportedNotRun) {
        m_violations.emplace_back("the request of a key ran after its caller had been told not_run");
    }
    if (m_attempts[attempt].isReportedNotRun) {
        m_violations.emplace_back("an attempt ran after its caller had been told not_run");
    }
}

void Fleet::reportRefusal(std::size_t attempt, const KeyRefusal &refusal)
{
    m_counts.refusedTooNew += refusal.code == ResultCode::KeyOwnershipTooNew ? 1 : 0;
    if (refusal.thisAttempt == Outcome::NotRun) {
        reportNotRun(attempt, refusal.outcome == Outcome::NotRun);
    }
    if (refusal.outcome == Outcome::Ran) {
        reportRan(attempt);
    }
}

void Fleet::reportNotRun(std::size_t attempt, bool isWholeKey)
{
    m_attempts[attempt].isReportedNotRun = true;
    if (!isWholeKey) {
        return;
    }
    ++m_counts.reportedNotRun;
    Key &key = m_keys[m_attempts[attempt].key];
    key.isReportedNotRun = true;
    if (key.executions > 0) {
        m_violations.emplace_back("a caller was told not_run for a key whose request had run");
    }
}

void Fleet::reportRan(std::size_t attempt)
{
    if (m_keys[m_attempts[attempt].key].executions == 0) {
        m_violations.emplace_back("a caller was told ran for a key whose request had not run");
    }
}

} // namespace magnolia::idempotency::tests
