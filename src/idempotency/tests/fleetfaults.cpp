// The random faults and callers of a seeded schedule.
#include "idempotency/tests/fleet.h"

namespace magnolia::idempotency::tests
{

Milliseconds Fleet::randomTime(Milliseconds from, Milliseconds to)
{
    return from + Milliseconds(m_schedule.random().below(static_cast<std::uint64_t>((to - from).count()) + 1));
}

std::string Fleet::randomInstance()
{
    return std::string(1, static_cast<char>('a' + m_schedule.random().below(4)));
}

void Fleet::setListed(const std::string &instance, bool isListed)
{
    std::set<std::string> members = published();
    if (isListed) {
        members.insert(instance);
    } else {
        members.erase(instance);
    }
    publish(std::move(members));
}

void Fleet::pauseOrCrashRandomly(const std::string &instance)
{
    if (!m_schedule.random().chance(m_options.pauseChance)) {
        return;
    }
    if (m_options.canRestart && m_schedule.random().chance(0.2)) {
        m_schedule.after(Milliseconds(0), [this, instance] {
            crash(instance);
        });
        return;
    }
    pause(instance, randomTime(Milliseconds(1), Milliseconds(15'000)));
}

void Fleet::crash(const std::string &instance)
{
    kill(instance);
    if (!m_options.canRestart) {
        m_schedule.after(randomTime(Milliseconds(0), Milliseconds(4000)), [this, instance] {
            setListed(instance, false);
        });
        return;
    }
    // The restart may be too quick for a change of the list.
    m_schedule.after(randomTime(Milliseconds(50), Milliseconds(6000)), [this, instance] {
        if (!m_processes.contains(instance)) {
            start(instance);
        }
    });
    if (m_schedule.random().chance(0.5)) {
        const Milliseconds noticed = randomTime(Milliseconds(0), Milliseconds(3000));
        m_schedule.after(noticed, [this, instance] {
            setListed(instance, false);
        });
        m_schedule.after(noticed + randomTime(Milliseconds(100), Milliseconds(6000)), [this, instance] {
            setListed(instance, true);
        });
    }
}

void Fleet::leave(const std::string &instance)
{
    const bool isEarly = m_schedule.random().chance(0.5);
    if (isEarly) {
        stopOwning(instance);
    }
    const Milliseconds noticed = randomTime(Milliseconds(0), Milliseconds(3000));
    m_schedule.after(noticed, [this, instance] {
        setListed(instance, false);
    });
    const Milliseconds exit = randomTime(Milliseconds(200), Milliseconds(10'000));
    m_schedule.after(exit, [this, instance] {
        kill(instance);
    });
    if (m_options.canRestart) {
        const Milliseconds back = exit + randomTime(Milliseconds(50), Milliseconds(4000));
        m_schedule.after(back, [this, instance] {
            start(instance);
        });
        m_schedule.after(std::max(back, noticed) + randomTime(Milliseconds(0), Milliseconds(4000)), [this, instance] {
            setListed(instance, true);
        });
    }
}

void Fleet::injectRandomFault()
{
    const std::string instance = randomInstance();
    const Milliseconds shortTime = randomTime(Milliseconds(50), Milliseconds(3000));
    const Milliseconds longTime = randomTime(Milliseconds(500), Milliseconds(12'000));
    switch (m_schedule.random().below(9)) {
    case 0:
        crash(instance);
        break;
    case 1:
        leave(instance);
        break;
    case 2: // Joins: starts first and is listed later.
        if (!m_processes.contains(instance)) {
            start(instance);
        }
        m_schedule.after(shortTime, [this, instance] {
            setListed(instance, true);
        });
        break;
    case 3: // The list omits a running instance for a time.
        setListed(instance, false);
        m_schedule.after(shortTime, [this, instance] {
            setListed(instance, true);
        });
        break;
    case 4:
        pause(instance, longTime);
        break;
    case 5: { // A network partition; the platform may be unreachable from one side.
        const std::set<std::string> side{instance, randomInstance()};
        m_relays.partition(side);
        m_handovers.partition(side);
        const bool isPlatformCut = m_schedule.random().chance(0.7);
        for (const std::string &it : side) {
            m_platformCutUntil[it] = m_schedule.now() + (isPlatformCut ? longTime : Milliseconds(0));
        }
        m_schedule.after(longTime, [this] {
            m_relays.heal();
            m_handovers.heal();
        });
        break;
    }
    case 6: // No instance can reach the platform.
        for (const char *it : {"a", "b", "c", "d"}) {
            m_platformCutUntil[it] = m_schedule.now() + longTime;
        }
        break;
    default: // Several revisions in quick succession with the same instances.
        for (int i = 0; i < 6; ++i) {
            m_schedule.after(Milliseconds(i * 100), [this] {
                publish(published());
            });
        }
        break;
    }
}

void Fleet::startRandomCaller()
{
    const std::size_t key = createKey(randomTime(Milliseconds(0), Milliseconds(3000)) - Milliseconds(2000));
    const std::uint64_t attempts = 1 + m_schedule.random().below(5);
    Milliseconds when{0};
    for (std::uint64_t i = 0; i < attempts; ++i) {
        m_schedule.after(when, [this, key] {
            sendAttempt(key, randomInstance());
        });
        when += randomTime(Milliseconds(0), Milliseconds(i % 2 == 0 ? 400 : 8000));
    }
}

void Fleet::runRandomly()
{
    constexpr int callers = 60;
    for (int i = 0; i < callers; ++i) {
        m_schedule.after(randomTime(Milliseconds(0), m_options.faultPeriod), [this] {
            startRandomCaller();
        });
    }
    const auto faults
        = static_cast<int>(m_schedule.random().below(static_cast<std::uint64_t>(m_options.maxFaults) + 1));
    for (int i = 0; i < faults; ++i) {
        m_schedule.after(randomTime(Milliseconds(5000), m_options.faultPeriod), [this] {
            injectRandomFault();
        });
    }
    m_schedule.runFor(m_options.faultPeriod + Milliseconds(20'000));
}

} // namespace magnolia::idempotency::tests
