// Several complete gateways before the same upstreams on one event loop. Each gateway reaches the upstreams by links of
// its own, which can be cut.
#pragma once

#include "scriptedupstream.h"

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/itcpstreamlistener.h"
#include "framework/eventloop/tcpstream.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::gateway::tests
{

/** What an instance that is cut from all upstreams sees of them. */
enum class Cut {
    /** Open connections are reset and new ones are refused. */
    Reset,
    /** Neither open nor new connections are answered. */
    Hanging,
    /** Open connections go on and new ones are refused. */
    Refusing,
    /** Open connections go on and new ones are reset as soon as they are established. */
    Closing,
};

/** Connection of a caller that records the received bytes. */
struct FleetCaller : eventloop::ITcpStreamListener
{
    void onInput() override;
    void onEnd(eventloop::StreamEnd end) override;

    /** Returns the status of the answer; 0 before its head has arrived. */
    [[nodiscard]] int status() const;
    /** Returns the answer after its head, without framing. */
    [[nodiscard]] std::string body() const;
    /** Whether the answer is complete. */
    [[nodiscard]] bool isComplete() const;

    std::shared_ptr<eventloop::TcpStream> stream;
    std::string received;
    bool hasEnded = false;
};

class GatewayFleet
{
public:
    /** Creates one gateway in each of `dataCentres`. */
    explicit GatewayFleet(const std::vector<std::string> &dataCentres);
    ~GatewayFleet();
    GatewayFleet(const GatewayFleet &) = delete;
    GatewayFleet &operator=(const GatewayFleet &) = delete;

    /**
     * Adds an upstream of the engine service "engine" or of the plain service "app"; call it before start(). Without a
     * data centre it belongs to that of each gateway.
     */
    void addUpstream(
        const std::string &service, const ScriptedUpstream::Script &script, const std::string &dataCentre = {});
    /** Sets the homes of the routes "once" and "stream"; call it before start(). The route "safe" has none. */
    void setHomes(const std::vector<std::string> &regions);
    /** Sets the regions of data centres, for all gateways; call it before start(). */
    void setRegions(const std::map<std::string, std::string> &regionByDataCentre);
    /**
     * Gives the service "app" a budget for cold upstreams of `requestsPerSecond` x 1.5 + 5 requests in a second, and a
     * cold time of 3 s. Answers state the remaining time in the field "Cold". Call it before start().
     */
    void setColdBudget(double requestsPerSecond);
    /** Sets the timeout of all routes, which is 4 s otherwise; call it before start(). */
    void setRouteTimeout(Milliseconds timeout);
    /** Sets the time to live of directory answers; call it before start(). */
    void setLocateTtl(Milliseconds ttl);
    /** Starts all gateways and waits until they are ready and know each other. */
    void start();
    void cut(std::size_t gateway, Cut cut);
    /** Writes or deletes the store's item that evacuates a data centre. */
    void setEvacuated(const std::string &dataCentre, bool isEvacuated);
    /** While the store refuses a gateway, all calls of the gateway fail. */
    void setStoreRefusing(std::size_t gateway, bool isRefusing);
    /** Returns the metrics of a gateway in the text format of Prometheus. */
    [[nodiscard]] std::string metrics(std::size_t gateway);
    /** Ends the cut of a gateway. */
    void restore(std::size_t gateway);
    /** Ends upstream `index` for all gateways. */
    void crash(std::size_t index);
    void beginStop(std::size_t gateway);
    /** Prepares the gateways from `first` on for loseMachines(); call it before start(). */
    void setLosable(std::size_t first);
    /** Ends all work of these gateways at once, as the loss of their machines does. */
    void loseMachines();

    /**
     * Sends a request to a gateway. Its path selects the route: "/once/" must not run twice, "/safe/" may be repeated
     * and "/stream/" are resumable streams.
     */
    std::shared_ptr<FleetCaller> send(std::size_t gateway, const std::string &id, const std::string &path,
        const std::string &moreFields = {}, const std::string &deadlineMs = "4000", const std::string &body = "body");
    /** Runs the event loop until `isDone` returns true; returns whether it did within `time`. */
    bool runUntil(const std::function<bool()> &isDone, Milliseconds time = Milliseconds(5000));
    void runFor(Milliseconds time);
    /** Sends a request and waits for its answer. */
    std::shared_ptr<FleetCaller> run(
        std::size_t gateway, const std::string &id, const std::string &path, const std::string &moreFields = {});
    [[nodiscard]] nlohmann::json status(std::size_t gateway);
    /** Returns the addresses of callers that the directory of a gateway names, separated by spaces. */
    [[nodiscard]] std::string callerAddresses(std::size_t gateway, const std::string &query = {});
    [[nodiscard]] std::string callerAddress(std::size_t gateway) const;
    /** Returns the address to which peers of a gateway send their datagrams, as IP:PORT. */
    [[nodiscard]] std::string peerAddress(std::size_t gateway) const;
    /** Returns the upstream of a gateway by the order in which the upstreams were added. */
    [[nodiscard]] ScriptedUpstream &upstream(std::size_t gateway, std::size_t index);
    /** Number of requests that upstreams received from a gateway. */
    [[nodiscard]] std::size_t requestCount(std::size_t gateway) const;

    eventloop::EventLoop loop;

private:
    struct Instance;

    [[nodiscard]] std::string get(const std::string &address, const std::string &path);

    // Runs the gateways that can be lost, until they are.
    eventloop::EventLoop m_losableLoop;
    std::optional<std::size_t> m_firstLosable;
    bool m_hasLostMachines = false;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<std::string> m_services;
    std::vector<std::string> m_upstreamDataCentres;
    std::vector<std::shared_ptr<FleetCaller>> m_callers;
};

} // namespace magnolia::gateway::tests
