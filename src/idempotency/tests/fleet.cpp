// The simulated entries: lists, steps of an attempt, and what callers are told.
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
    void send(const InstanceId &owner, const HandedOverKey &ended) override
    {
        m_fleet.m_handovers.send(m_self, owner.value(), {ended});
    }

private:
    Fleet &m_fleet;
    std::string m_self;
};

struct Fleet::Process
{
    Process(Fleet &fleet, const std::string &entry, std::uint64_t number, WallTime now)
        : name(entry)
        , incarnation(number)
        , transport(fleet, entry)
        , controller(InstanceId(entry), Incarnation(number), now, fleet.m_options.parameters, transport)
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
    toldNotRun += other.toldNotRun;
    handoverParts += other.handoverParts;
    return *this;
}

Fleet::Fleet(std::uint64_t seed, FleetOptions options)
    : m_options(options)
    , m_schedule(seed)
    , m_relays(m_schedule, {options.relayLoss, 0, Milliseconds(1), Milliseconds(20)})
    , m_handovers(m_schedule, options.handoverLink)
{
    m_versions.push_back({m_schedule.now(), 1, {"a", "b", "c"}});
    for (const char *entry : {"a", "b", "c", "d"}) {
        const auto width = static_cast<std::uint64_t>(2 * m_options.clockError.count() + 1);
        m_clockErrors[entry] = Milliseconds(m_schedule.random().below(width)) - m_options.clockError;
    }
    for (const char *entry : {"a", "b", "c"}) {
        start(entry);
    }
}

Fleet::~Fleet() = default;

WallTime Fleet::wall(const std::string &entry)
{
    return m_schedule.wallNow() + m_clockErrors[entry];
}

void Fleet::start(const std::string &entry)
{
    m_pausedUntil[entry] = m_schedule.now();
    m_processes[entry] = std::make_unique<Process>(*this, entry, m_nextIncarnation++, wall(entry));
    m_relays.attach(entry, [this, entry](const std::string &, const RelayMessage &message) {
        onProcess(entry, Milliseconds(0), [this, message](Process &process) {
            handle(process, message.attempt, true);
        });
    });
    m_handovers.attach(entry, [this, entry](const std::string &, const HandoverMessage &message) {
        onProcess(entry, Milliseconds(0), [message](Process &process) {
            std::visit(
                [&process](const auto &content) {
                    process.controller.receive(content);
                },
                message.content);
        });
    });
    poll(entry);
    tick(entry);
}

void Fleet::kill(const std::string &entry)
{
    m_processes.erase(entry);
    m_relays.detach(entry);
    m_handovers.detach(entry);
}

void Fleet::pause(const std::string &entry, Milliseconds duration)
{
    m_pausedUntil[entry] = std::max(m_pausedUntil[entry], m_schedule.now() + duration);
}

void Fleet::stopOwning(const std::string &entry)
{
    onProcess(entry, Milliseconds(0), [this](Process &process) {
        process.controller.stopOwning(wall(process.name));
    });
}

void Fleet::publish(std::set<std::string> members)
{
    m_versions.push_back({m_schedule.now(), m_versions.back().revision + 1, std::move(members)});
}

void Fleet::onProcess(const std::string &entry, Milliseconds delay, std::function<void(Process &)> step)
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
            // After a pause, what had waited runs in any order.
            const Milliseconds wait = toMilliseconds(pausedUntil - m_schedule.now());
            onProcess(entry, wait + Milliseconds(m_schedule.random().below(20)), step);
            return;
        }
        step(*process->second);
    });
}

void Fleet::poll(const std::string &entry)
{
    testing::Schedule &it = m_schedule;
    const bool isStale = m_options.maxFaults > 0 && it.random().chance(0.1);
    const Milliseconds lag = drawTime(Milliseconds(0), Milliseconds(isStale ? 6000 : 300));
    const MonoTime asOf = std::max(MonoTime{}, it.now() - lag);
    const bool isCut = m_platformCutUntil[entry] > it.now();
    if (!isCut) {
        auto version = m_versions.rbegin();
        while (version->since > asOf) {
            ++version;
        }
        PublishedList list;
        list.revision = version->revision;
        const Milliseconds stampError = drawTime(Milliseconds(0), m_options.parameters.maxContentLag);
        list.generatedAt = it.wallNow() - toMilliseconds(it.now() - asOf) + std::min(stampError, lag);
        for (const std::string &id : version->members) {
            PublishedInstance instance;
            instance.id = id;
            list.instances.push_back(instance);
        }
        // The answer takes its time, so answers of one reader may come out of order.
        const Milliseconds travel = drawTime(Milliseconds(1), Milliseconds(200));
        onProcess(entry, travel, [this, list](Process &process) {
            process.controller.applyList(list, wall(process.name));
        });
    }
    onProcess(entry, pollInterval, [this, entry](Process &) {
        poll(entry);
    });
}

void Fleet::tick(const std::string &entry)
{
    onProcess(entry, tickInterval, [this, entry](Process &process) {
        process.controller.tick(wall(entry));
        tick(entry);
    });
}

std::size_t Fleet::createKey(Milliseconds callerError)
{
    const IdempotencyKey key = makeKey(m_schedule.wallNow() + callerError, m_schedule.random());
    m_keys.push_back({{OrganisationId("o"), key}, 0, false});
    return m_keys.size() - 1;
}

void Fleet::sendAttempt(std::size_t key, const std::string &entry)
{
    ++m_counts.attempts;
    m_attempts.push_back({key, false});
    const std::size_t attempt = m_attempts.size() - 1;
    onProcess(entry, drawTime(Milliseconds(0), Milliseconds(5)), [this, attempt](Process &process) {
        handle(process, attempt, false);
    });
}

void Fleet::handle(Process &process, std::size_t attempt, bool isRelayed)
{
    const KeyedRequest request{m_keys[m_attempts[attempt].key].name, 7, isRelayed};
    const BeginDecision decision = process.controller.begin(request, wall(process.name));
    if (const auto *run = std::get_if<RunLocally>(&decision)) {
        maybePause(process.name);
        const Permit permit = run->permit;
        onProcess(process.name, drawTime(Milliseconds(1), Milliseconds(20)), [this, attempt, permit](Process &it) {
            dispatch(it, attempt, permit);
        });
    } else if (const auto *relay = std::get_if<RelayTo>(&decision)) {
        ++m_counts.relayed;
        m_relays.send(process.name, relay->owner.value(), {attempt});
    } else if (std::holds_alternative<Replay>(decision)) {
        ++m_counts.replayed;
        tellRan(attempt);
    } else {
        tellRefusal(attempt, std::get<KeyRefusal>(decision));
    }
}

void Fleet::dispatch(Process &process, std::size_t attempt, const Permit &permit)
{
    const bool isConnectFailed = m_schedule.random().chance(m_options.connectFailure);
    if (isConnectFailed && m_schedule.random().chance(0.5)) {
        process.controller.abandon(permit);
        tellNotRun(attempt, false);
        return;
    }
    const WallTime now = wall(process.name);
    if (isConnectFailed) {
        const KeyCheck check = process.controller.closeNotRun(permit, now);
        tellNotRun(attempt, check.has_value());
        return;
    }
    if (const KeyCheck check = process.controller.confirmDispatch(permit, now); !check) {
        tellRefusal(attempt, check.error());
        return;
    }
    maybePause(process.name);
    onProcess(process.name, drawTime(Milliseconds(0), Milliseconds(3)), [this, attempt, permit](Process &it) {
        write(it, attempt, permit);
    });
}

void Fleet::write(Process &process, std::size_t attempt, const Permit &permit)
{
    // Bytes under way reach the upstream even if the entry dies now.
    const Milliseconds travel = drawTime(Milliseconds(0), Milliseconds(30));
    if (m_schedule.random().chance(m_options.upstreamRefusal)) {
        maybePause(process.name);
        const Milliseconds answer = travel + drawTime(Milliseconds(1), Milliseconds(2000));
        onProcess(process.name, answer, [this, attempt, permit](Process &it) {
            takeBack(it, attempt, permit);
        });
        return;
    }
    m_schedule.after(travel, [this, attempt] {
        execute(attempt);
    });
    maybePause(process.name);
    const Milliseconds answer = travel + drawTime(Milliseconds(1), Milliseconds(2000));
    const bool isLost = m_schedule.random().chance(0.1);
    onProcess(process.name, answer, [this, attempt, permit, isLost](Process &it) {
        if (isLost) {
            it.controller.loseAnswer(permit);
            return;
        }
        it.controller.complete(permit, {200, "text/plain", "done"});
        tellRan(attempt);
    });
}

void Fleet::takeBack(Process &process, std::size_t attempt, const Permit &permit)
{
    process.controller.retract(permit);
    maybePause(process.name);
    if (m_schedule.random().chance(0.5)) {
        // Tried again at another upstream.
        onProcess(process.name, drawTime(Milliseconds(1), Milliseconds(20)), [this, attempt, permit](Process &it) {
            dispatch(it, attempt, permit);
        });
        return;
    }
    const KeyCheck check = process.controller.closeNotRun(permit, wall(process.name));
    tellNotRun(attempt, check.has_value());
}

void Fleet::execute(std::size_t attempt)
{
    ++m_counts.executions;
    Key &key = m_keys[m_attempts[attempt].key];
    if (++key.executions > 1) {
        m_violations.emplace_back("a key ran twice");
    }
    if (key.isToldNotRun) {
        m_violations.emplace_back("a key ran after its caller was told not_run");
    }
    if (m_attempts[attempt].isToldNotRun) {
        m_violations.emplace_back("an attempt ran after it was told not_run");
    }
}

void Fleet::tellRefusal(std::size_t attempt, const KeyRefusal &refusal)
{
    m_counts.refusedTooNew += refusal.code == ResultCode::KeyOwnershipTooNew ? 1 : 0;
    if (refusal.thisAttempt == Outcome::NotRun) {
        tellNotRun(attempt, refusal.outcome == Outcome::NotRun);
    }
    if (refusal.outcome == Outcome::Ran) {
        tellRan(attempt);
    }
}

void Fleet::tellNotRun(std::size_t attempt, bool isWholeKey)
{
    m_attempts[attempt].isToldNotRun = true;
    if (!isWholeKey) {
        return;
    }
    ++m_counts.toldNotRun;
    Key &key = m_keys[m_attempts[attempt].key];
    key.isToldNotRun = true;
    if (key.executions > 0) {
        m_violations.emplace_back("a caller was told not_run of a key that had run");
    }
}

void Fleet::tellRan(std::size_t attempt)
{
    if (m_keys[m_attempts[attempt].key].executions == 0) {
        m_violations.emplace_back("a caller was told ran of a key that had not run");
    }
}

} // namespace magnolia::idempotency::tests
