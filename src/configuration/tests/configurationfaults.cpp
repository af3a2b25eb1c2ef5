// Random faults: service replicas down or stale; instances restarted or paused; partitions; lost messages; bursts of
// publications by two operators; invalid values.
#include "configuration/tests/configurationfaults.h"

#include <iterator>

namespace magnolia::testing
{

namespace
{

constexpr std::uint64_t faultsFromMs = 12'000;
constexpr std::uint64_t faultsUntilMs = 45'000;
constexpr Milliseconds repairedAt{75'000};
constexpr Milliseconds lastPublishAt{80'000};
constexpr Milliseconds endAt{90'000};
constexpr std::uint64_t minFaults = 2;
constexpr std::uint64_t maxFaults = 6;
constexpr double invalidFraction = 0.15;

class FaultSchedule
{
public:
    FaultSchedule(std::uint64_t seed, const FleetShape &shape)
        : m_fleet(seed, shape)
        , m_replicas(shape.replicas)
    {
    }

    std::vector<std::string> run()
    {
        m_fleet.network().setFaults({0.01, 0.02, Milliseconds(1), Milliseconds(20)});
        m_fleet.publish(true);
        m_fleet.startAll();
        schedulePublications();
        const std::uint64_t faults = minFaults + random().below(maxFaults - minFaults + 1);
        for (std::uint64_t i = 0; i < faults; ++i) {
            at(faultsFromMs + random().below(faultsUntilMs - faultsFromMs), [this] {
                injectFault();
            });
        }
        at(static_cast<std::uint64_t>(repairedAt.count()), [this] {
            repairAll();
        });
        at(static_cast<std::uint64_t>(lastPublishAt.count()), [this] {
            m_fleet.publish(true);
        });
        m_fleet.schedule().runUntil(MonoTime(endAt));
        m_fleet.checkSettled();
        return m_fleet.violations();
    }

private:
    Random &random()
    {
        return m_fleet.schedule().random();
    }
    void at(std::uint64_t ms, std::function<void()> action)
    {
        m_fleet.schedule().at(MonoTime(Milliseconds(ms)), std::move(action));
    }
    void after(std::uint64_t ms, std::function<void()> action)
    {
        m_fleet.schedule().after(Milliseconds(ms), std::move(action));
    }
    std::string randomNode()
    {
        auto it = m_fleet.nodes().begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random().below(m_fleet.nodes().size())));
        return it->first;
    }

    void schedulePublications()
    {
        for (int i = 0; i < 10; ++i) {
            at(2'000 + random().below(70'000), [this] {
                m_fleet.publish(!random().chance(invalidFraction));
            });
        }
        // Bursts of publications by two operators, a few milliseconds apart.
        for (int burst = 0; burst < 2; ++burst) {
            at(2'000 + random().below(70'000), [this] {
                for (std::uint64_t i = 0; i < 6; ++i) {
                    after(i / 2 * 150 + random().below(10), [this] {
                        m_fleet.publish(!random().chance(invalidFraction));
                    });
                }
            });
        }
    }

    void injectFault()
    {
        switch (random().below(8)) {
        case 0:
            return takeServiceDown(2'000 + random().below(20'000));
        case 1:
            return makeReplicaStale(random().below(m_replicas), 3'000 + random().below(30'000));
        case 2:
            return takeReplicaDown(random().below(m_replicas), 1'000 + random().below(20'000));
        case 3:
            return restart(randomNode(), 300 + random().below(8'000));
        case 4:
            return pause(randomNode(), random().chance(0.3) ? 60'000 : 500 + random().below(10'000));
        case 5:
            return partitionFleet(2'000 + random().below(25'000));
        case 6:
            return cutFromService(2'000 + random().below(20'000));
        default:
            return loseMessages(1'000 + random().below(5'000));
        }
    }

    void takeServiceDown(std::uint64_t ms)
    {
        for (std::size_t i = 0; i < m_replicas; ++i) {
            takeReplicaDown(i, ms);
        }
    }
    void takeReplicaDown(std::size_t replica, std::uint64_t ms)
    {
        m_fleet.service().setDown(replica, true);
        after(ms, [this, replica] {
            m_fleet.service().setDown(replica, false);
        });
    }
    void makeReplicaStale(std::size_t replica, std::uint64_t ms)
    {
        m_fleet.service().setStale(replica, true, random().chance(0.5));
        after(ms, [this, replica] {
            m_fleet.service().setStale(replica, false, false);
        });
        // An instance that restarts in the meantime may read the old revision.
        if (random().chance(0.5)) {
            restart(randomNode(), ms / 2);
        }
    }
    void restart(const std::string &id, std::uint64_t ms)
    {
        m_fleet.crash(id);
        after(ms, [this, id] {
            m_fleet.start(id);
        });
    }
    void pause(const std::string &id, std::uint64_t ms)
    {
        m_fleet.pause(id);
        after(ms, [this, id] {
            m_fleet.resume(id);
        });
    }
    void partitionFleet(std::uint64_t ms)
    {
        std::set<std::string> side;
        const bool isByDataCentre = random().chance(0.5);
        for (auto &[id, node] : m_fleet.nodes()) {
            const std::string group = isByDataCentre ? node.self.dataCentre.value() : id;
            if (isGroupOnSide(group)) {
                side.insert(id);
            }
        }
        m_groupSides.clear();
        m_fleet.partition(side);
        const bool isServiceOnOneSide = random().chance(0.5);
        if (isServiceOnOneSide) {
            setCutFromService(side, true);
        }
        after(ms, [this, side, isServiceOnOneSide] {
            m_fleet.heal();
            if (isServiceOnOneSide) {
                setCutFromService(side, false);
            }
        });
    }
    bool isGroupOnSide(const std::string &group)
    {
        return m_groupSides.try_emplace(group, random().chance(0.4)).first->second;
    }
    void setCutFromService(const std::set<std::string> &ids, bool isCut)
    {
        for (const std::string &id : ids) {
            m_fleet.cutFromService(id, isCut);
        }
    }
    /** Each instance loses the service with a probability of 30 % or 85 %. */
    void cutFromService(std::uint64_t ms)
    {
        std::set<std::string> cut;
        const double share = random().chance(0.5) ? 0.3 : 0.85;
        for (auto &[id, node] : m_fleet.nodes()) {
            if (random().chance(share)) {
                cut.insert(id);
            }
        }
        setCutFromService(cut, true);
        after(ms, [this, cut] {
            setCutFromService(cut, false);
        });
    }
    void loseMessages(std::uint64_t ms)
    {
        m_fleet.network().setFaults({0.25, 0.1, Milliseconds(1), Milliseconds(200)});
        after(ms, [this] {
            m_fleet.network().setFaults({0.01, 0.02, Milliseconds(1), Milliseconds(20)});
        });
    }

    void repairAll()
    {
        m_fleet.heal();
        for (std::size_t i = 0; i < m_replicas; ++i) {
            m_fleet.service().setDown(i, false);
            m_fleet.service().setStale(i, false, false);
        }
        for (auto &[id, node] : m_fleet.nodes()) {
            m_fleet.cutFromService(id, false);
            m_fleet.resume(id);
            m_fleet.start(id);
        }
    }

    ConfigurationFleet m_fleet;
    std::size_t m_replicas;
    std::map<std::string, bool> m_groupSides;
};

} // namespace

std::vector<std::string> runFaultSchedule(std::uint64_t seed, const FleetShape &shape)
{
    return FaultSchedule(seed, shape).run();
}

} // namespace magnolia::testing
