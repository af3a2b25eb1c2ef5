// Three gateway processes before one store, for tests of single faults.
#pragma once

#include "gatewayprocess.h"
#include "soakstore.h"

#include "framework/eventloop/eventloop.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::soak
{

class GatewayGroup
{
public:
    GatewayGroup();
    ~GatewayGroup();
    GatewayGroup(const GatewayGroup &) = delete;
    GatewayGroup &operator=(const GatewayGroup &) = delete;

    /**
     * Publishes a configuration with two routes of host "soak.example": the idempotent "/safe/" to the service "app",
     * and the resumable streams "/stream/" to the engines "engine".
     */
    void publish(int version);
    /** Runs the loop until `isDone`, for at most `time`; returns whether it was done. */
    bool runUntil(const std::function<bool()> &isDone, Milliseconds time);
    void runFor(Milliseconds time);
    /** Whether all gateways report this configuration version. */
    [[nodiscard]] bool isInForceEverywhere(int version) const;
    /** Whether all gateways know this number of upstreams. */
    [[nodiscard]] bool isUpstreamCountEverywhere(std::size_t count) const;
    /** Whether all gateways report this value in field `name` of their first upstream. */
    [[nodiscard]] bool isUpstreamFieldEverywhere(const std::string &name, const nlohmann::json &value) const;
    /** Sends a request to the idempotent route at one of the gateways in turn. */
    void sendRequest(const std::string &id, const std::string &path = "/safe/x", const std::string &body = {});
    /** Sends a request to the route of streams at one of the gateways in turn. `parts` lists the parts of its prompt.
     */
    void sendPrompt(const std::string &id, const std::string &parts);
    /** Returns the status of the answer to a request, 0 before it has arrived. */
    [[nodiscard]] int statusOf(const std::string &id) const;
    /** Whether the answer to a stream has arrived completely. */
    [[nodiscard]] bool isStreamComplete(const std::string &id) const;
    /** Returns a loopback address that no other test process uses. */
    [[nodiscard]] static std::string loopbackAddress(std::size_t host);

private:
    void pollStatuses();

    std::filesystem::path m_directory;

public:
    eventloop::EventLoop loop;
    SoakStore store;

private:
    struct Sender;

    void send(const std::string &id, const std::string &requestLine, const std::string &body,
        const std::string &moreFields = {});

    std::vector<std::unique_ptr<GatewayProcess>> m_gateways;
    std::vector<nlohmann::json> m_statuses;
    std::vector<std::shared_ptr<Sender>> m_senders;
    std::map<std::string, std::shared_ptr<Sender>> m_senderById;
};

} // namespace magnolia::soak
