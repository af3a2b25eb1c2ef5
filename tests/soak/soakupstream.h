// Simulated upstreams that follow the documented protocol: engines with event streams and memory reservations, and
// plain services.
#pragma once

#include "httpserving.h"
#include "ledger.h"
#include "proxy.h"
#include "soakstore.h"

#include "framework/eventloop/eventloop.h"
#include "framework/global/random.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnolia::soak
{

/** Faulty behaviour of an upstream towards its requests. */
enum class FaultMode {
    None,
    /** Resets the connection in the middle of a response. */
    Truncating,
    /** Responds with 500. */
    Failing,
    /** Responds with 503 and marks the request as not executed. */
    Refusing,
    /** Accepts requests and does not respond. */
    Hanging,
    /** Like `Refusing`, with the time for which the refused gateway shall send nothing. */
    TurningAway,
};

class SoakUpstream
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string zone;
        std::string ip;
        bool isEngine = false;
        int kvCapacityTokens = 100'000;
        /** Services of further store entries for the same process, one for each version of the versioned route. */
        std::vector<std::string> aliases;
        /** Returns the crash trigger that the request contains; empty if there is none. */
        std::function<std::string(const Request &)> findCrashTrigger;
        /** Returns the name of the process whose connections leave from `ip`. */
        std::function<std::string(const std::string &ip)> processAt;
        /** Called when a request has crashed the upstream. */
        std::function<void(SoakUpstream &)> onCrashed;
    };

    SoakUpstream(eventloop::EventLoop &loop, Options options, SoakStore &store, Ledger &ledger, Random &random);

    /** Starts listening and publishes the state "ready" in the store. `id` must be new for each start. */
    void start(const std::string &id);
    /** Ends without changing its store entries, which remain until `stop`. */
    void crash();
    /** Publishes the state "draining" in the store; serves on until `stop`. */
    void announceLeave();
    void stop();
    void setFaultMode(FaultMode faultMode);
    /** Names in all answers the requests per second that it takes of all gateways together; none to name no limit. */
    void setLimit(std::optional<double> requestsPerSecond);
    [[nodiscard]] Proxy &proxy();
    [[nodiscard]] bool isRunning() const;
    [[nodiscard]] bool isLeaving() const;
    [[nodiscard]] const std::string &id() const;
    /** Returns the number of tokens in unexpired reservations. */
    [[nodiscard]] int reservedTokens();

private:
    struct Reservation
    {
        int tokens = 0;
        MonoTime expiresAt{};
    };
    struct Stream;

    using Fields = std::vector<std::pair<std::string, std::string>>;

    /** Returns the header fields of an answer to request `id`, with what the upstream states about itself. */
    [[nodiscard]] Fields answerFields(const std::string &id, Fields more = {}) const;
    void publish(const std::string &state);
    /** Marks running requests as interrupted by the upstream, so that they are not blamed on a gateway. */
    void interruptRunningRequests();
    void serve(const std::shared_ptr<ServedConnection> &connection, const Request &request);
    void serveOrder(ServedConnection &connection, const Request &request);
    /** Crashes the upstream, unless the caller has left by then. */
    void crashBy(const std::string &trigger, const std::shared_ptr<ServedConnection> &connection);
    void startStream(
        const std::shared_ptr<ServedConnection> &connection, const Request &request, const std::string &id);
    void writeEvent(const std::shared_ptr<Stream> &stream);
    void sendPlainResponse(
        const std::shared_ptr<ServedConnection> &connection, const std::string &id, const std::string &name);

    eventloop::EventLoop &m_loop;
    Options m_options;
    SoakStore &m_store;
    Ledger &m_ledger;
    Random &m_random;
    std::shared_ptr<HttpListener> m_listener;
    std::shared_ptr<Proxy> m_proxy;
    std::string m_id;
    std::uint64_t m_startTimestamp = 1'700'000'000'000;
    bool m_isLeaving = false;
    FaultMode m_faultMode = FaultMode::None;
    std::optional<double> m_limit;
    std::map<std::string, Reservation> m_reservations;
    // Ids of requests that were started and have no complete response yet.
    std::set<std::string> m_runningRequests;
};

} // namespace magnolia::soak
