// One run: processes under test, the parties around them, a series of faults, and the promises judged at the end.
#pragma once

#include "gatewayprocess.h"
#include "ledger.h"
#include "plan.h"
#include "proxy.h"
#include "soakcaller.h"
#include "soakstore.h"
#include "soakupstream.h"

#include "framework/eventloop/eventloop.h"
#include "framework/global/random.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::httpclient
{
class HttpClient;
}

namespace magnolia::soak
{

struct SoakParameters
{
    std::string binary;
    std::filesystem::path folder;
    PlanParameters plan;
    std::size_t gateways = 4;
    std::size_t engines = 5;
    std::size_t services = 3;
    int callers = 24;
    /** Also judges what has a bound in time; for quiet machines. */
    bool hasTimedChecks = false;
    /** Tells each fault as it begins. */
    bool isVerbose = false;
};

class Soak
{
public:
    explicit Soak(SoakParameters parameters);
    ~Soak();

    /** Plays the run; the ledger holds its outcome. */
    const Ledger &run();
    [[nodiscard]] std::size_t faults() const;

private:
    void publishConfiguration();
    void whenAllReady(const std::string &why, std::function<void()> then);
    void beginTraffic();
    void begin(const Fault &fault);
    void beginGatewayFault(const Fault &fault);
    void beginStoreFault(const Fault &fault);
    void beginUpstreamFault(const Fault &fault);
    void replaceUpstream(SoakUpstream &upstream);
    /** Starts again what has ended, and heals nothing. */
    void superviseGateways();
    void askDirectory();
    /** Calls `heal` after the fault's time; `key` names what one fault at a time may hold. */
    void during(
        const Fault &fault, const std::string &key, const std::function<void()> &begin, std::function<void()> heal);
    void endTraffic();
    void waitForCallers();
    /** All are killed; the callers have to be served again, and then nothing may be left over. */
    void finalKill();
    void checkServed();
    void checkLeftOvers();
    void poll(const std::string &address, const std::string &path, std::function<void(int, const std::string &)> done);
    /** Tries `isDone` until it holds; a promise that it never keeps is broken after `guard`. */
    void waitFor(const std::string &promise, std::function<bool()> isDone, std::function<void()> then);
    [[nodiscard]] std::string freshId();

    SoakParameters m_parameters;
    eventloop::EventLoop m_loop;
    Random m_random;
    Ledger m_ledger;
    std::unique_ptr<SoakStore> m_store;
    std::vector<std::shared_ptr<Proxy>> m_storeLinks;
    std::vector<std::unique_ptr<GatewayProcess>> m_gateways;
    std::vector<std::unique_ptr<SoakUpstream>> m_upstreams;
    SoakCaller::World m_world;
    std::vector<std::shared_ptr<SoakCaller>> m_callers;
    std::vector<std::string> m_addresses;
    std::set<std::string> m_held;
    std::vector<Fault> m_plan;
    std::uint64_t m_version = 1;
    int m_nextId = 1;
    std::size_t m_nextDirectory = 0;
    // Last answers of the gauges, by gateway; nothing where they were not told yet.
    std::vector<std::optional<double>> m_leftOvers;
    std::vector<bool> m_isReady;
};

} // namespace magnolia::soak
