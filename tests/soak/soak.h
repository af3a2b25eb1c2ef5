// One run of the soak test: starts the processes under test and their simulated environment, applies the planned
// faults, and checks the guarantees at the end.
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
#include <utility>
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
    /** If set, gateways start on this binary, are replaced by `binary` one after the other, and go back in the same
     * way. */
    std::string previousBinary;
    std::filesystem::path workDirectory;
    PlanParameters plan;
    std::size_t gatewayCount = 4;
    std::size_t engineCount = 5;
    std::size_t serviceCount = 3;
    int callerCount = 24;
    /** Also checks time limits; these need a machine without other load. */
    bool hasTimedChecks = false;
    /** Prints each fault when it begins. */
    bool isVerbose = false;
};

class Soak
{
public:
    explicit Soak(SoakParameters parameters);
    ~Soak();

    /** Executes the run and returns the ledger with its records and violations. */
    const Ledger &run();
    [[nodiscard]] std::size_t faultCount() const;
    /** Returns how many processes were started on the new binary and on the previous one after the first start. */
    [[nodiscard]] const std::pair<int, int> &binaryChangeCounts() const;

private:
    void publishConfiguration();
    void runWhenAllReady(const std::string &guarantee, std::function<void()> then);
    void startTraffic();
    void applyFault(const Fault &fault);
    void applyBinaryChange(const BinaryChange &change);
    /** Stops a gateway as planned; does nothing if too few others serve. Returns whether it has been stopped. */
    bool stopGateway(GatewayProcess &gateway);
    void applyGatewayFault(const Fault &fault);
    void applyStoreFault(const Fault &fault);
    void applyUpstreamFault(const Fault &fault);
    void applyCrashTrigger(const Fault &fault);
    /** Cuts one to all but one gateways from all upstreams. */
    void cutGateways(const Fault &fault);
    void evacuate(const Fault &fault);
    void replaceUpstream(SoakUpstream &upstream);
    /** Starts a crashed upstream again after `delay`, under a new id. */
    void restartUpstream(SoakUpstream &upstream, Milliseconds delay);
    /** Restarts gateway processes that have ended; reverts no fault. */
    void restartEndedGateways();
    void pollDirectory();
    /** Calls `apply`, and `revert` after the duration of the fault. Does nothing if another fault with `key` is active.
     */
    void applyTemporarily(
        const Fault &fault, const std::string &key, const std::function<void()> &apply, std::function<void()> revert);
    void stopTraffic();
    void waitForCallers();
    /** Kills all gateways, then checks that requests are served again and that all resources are released. */
    void killAllForFinalCheck();
    void checkServiceRestored();
    void checkResourcesReleased();
    void poll(const std::string &address, const std::string &path, std::function<void(int, const std::string &)> done);
    /** Polls `isDone`, then calls `then`. Adds a violation of `guarantee` if `isDone` is still false after `hangGuard`.
     */
    void waitFor(const std::string &guarantee, std::function<bool()> isDone, std::function<void()> then);
    [[nodiscard]] std::string nextUpstreamId();

    SoakParameters m_parameters;
    eventloop::EventLoop m_loop;
    Random m_random;
    Ledger m_ledger;
    std::unique_ptr<SoakStore> m_store;
    std::vector<std::shared_ptr<Proxy>> m_storeLinks;
    std::vector<std::unique_ptr<GatewayProcess>> m_gateways;
    std::vector<std::unique_ptr<SoakUpstream>> m_upstreams;
    SoakCaller::Environment m_environment;
    std::vector<std::shared_ptr<SoakCaller>> m_callers;
    std::vector<std::string> m_addresses;
    std::set<std::string> m_activeKeys;
    std::vector<Fault> m_plan;
    // Planned stops that were followed by a start on the new and on the previous binary.
    std::pair<int, int> m_binaryChangeCounts;
    std::uint64_t m_version = 1;
    int m_nextId = 1;
    std::size_t m_nextDirectoryNumber = 0;
    // Open requests plus known placements by gateway, as last read from the metrics; empty before the first reading.
    std::vector<std::optional<double>> m_unreleasedCounts;
    std::vector<bool> m_isReady;
};

} // namespace magnolia::soak
