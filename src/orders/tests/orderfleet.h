// Simulated entries, engines and a weight store under a seeded schedule, for tests of orders without a leader.
#pragma once

#include "framework/testing/schedule.h"
#include "orders/engineorderplanner.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace magnolia::orders::tests
{

struct OrderFleetOptions
{
    OrderFleetOptions()
    {
        parameters.weightStore = {6, Milliseconds(10'000), 1, Milliseconds(1000)};
        parameters.minRepeatInterval = Milliseconds(10'000);
    }

    OrderParameters parameters;
    int maxFaults = 6;
    double pauseChance = 0.02;
    /** Largest clock error of an entry against the platform; half of maxClockSkew keeps every pair of clocks within it.
     */
    Milliseconds clockError{500};
    Milliseconds faultsUntil{50'000};
    Milliseconds horizon{250'000};
};

class OrderFleet
{
public:
    OrderFleet(std::uint64_t seed, OrderFleetOptions options);
    ~OrderFleet();
    OrderFleet(const OrderFleet &) = delete;
    OrderFleet &operator=(const OrderFleet &) = delete;

    void runRandomFaults();

    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    [[nodiscard]] std::uint64_t acceptedOrders() const
    {
        return m_acceptedOrders;
    }
    [[nodiscard]] std::uint64_t lateOrders() const
    {
        return m_lateOrders;
    }
    [[nodiscard]] std::uint64_t rejectedOrders() const
    {
        return m_rejectedOrders;
    }

private:
    struct Process;
    struct Version
    {
        MonoTime since{};
        std::uint64_t revision = 0;
        std::set<std::string> members;
    };
    struct Engine
    {
        EngineState state;
        /** Newest configuration of all accepted orders, and of those that no pause delayed. */
        std::uint64_t acceptedConfiguration = 0;
        std::uint64_t acceptedOnTime = 0;
        int changes = 0;
        int desiredChanges = 1;
        int lateOrders = 0;
        std::string lastOwner;
        MonoTime lastOwnedAt{};
    };
    struct Configuration
    {
        MonoTime since{};
        std::map<std::string, std::string> versions;
    };
    struct WeightLoad
    {
        MonoTime time{};
        bool isLate = false;
    };
    struct OrderInTransit
    {
        std::string engine;
        EngineOrder order;
        std::uint64_t configuration = 0;
        MonoTime confirmedAt{};
    };

    [[nodiscard]] ClockReading time(const std::string &entry);
    void onProcess(const std::string &entry, Milliseconds delay, std::function<void(Process &)> step);
    void start(const std::string &entry);
    void poll(const std::string &entry);
    void readConfiguration(Process &process);
    void reconcileEngines(const std::string &entry);
    void planOrder(Process &process, const std::string &engine);
    void confirmOrder(Process &process, OrderInTransit transit);
    void recordOwner(const std::string &entry, Engine &engine);
    void deliver(const OrderInTransit &transit);
    void publishConfiguration();
    void setListed(const std::string &entry, bool isListed);
    void pauseRandomly(const std::string &entry);
    void injectRandomFault();
    void checkFinalState();
    void checkWeightStore();
    [[nodiscard]] DesiredState desired(const std::string &engine, std::uint64_t configuration) const;
    Milliseconds randomTime(Milliseconds from, Milliseconds to);
    std::string randomEntry();

    OrderFleetOptions m_options;
    testing::Schedule m_schedule;
    std::vector<Version> m_versions;
    std::vector<Configuration> m_configurations;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    std::map<std::string, Engine> m_engines;
    std::map<std::string, Milliseconds> m_clockErrors;
    std::map<std::string, MonoTime> m_pausedUntil;
    std::map<std::string, MonoTime> m_listCutUntil;
    std::map<std::string, MonoTime> m_configurationCutUntil;
    std::set<std::string> m_partition;
    std::vector<WeightLoad> m_weightLoads;
    std::vector<std::string> m_violations;
    std::uint64_t m_acceptedOrders = 0;
    std::uint64_t m_rejectedOrders = 0;
    std::uint64_t m_lateOrders = 0;
    std::uint64_t m_nextIncarnation = 1;
};

} // namespace magnolia::orders::tests
