// Starts the processes of a fleet and publishes their configuration and instance list.
#include "fleet.h"

#include "waiting.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace magnolia::sessions
{

namespace
{

constexpr int engineMemoryTokens = 4'000'000;

nlohmann::json configurationContent()
{
    const std::string classes = R"([ // targets of the session tests
        {"name":"counter","kind":"model","first_token_ms":5000,"finish_ms":20000,"idempotent":true},
        {"name":"archive","kind":"model","first_token_ms":600000,"finish_ms":900000,"idempotent":true},
        {"name":"impatient","kind":"model","first_token_ms":1,"finish_ms":2,"idempotent":true},
        {"name":"lookup","kind":"service","first_token_ms":2000,"finish_ms":5000,"idempotent":true},
        {"name":"booking","kind":"service","first_token_ms":5000,"finish_ms":10000,"idempotent":false}])";
    return {{"values",
        {{"classes", classes}, {"organisations", R"([{"name":"tambor-verde"}])"}, {"models", R"(["m-large"])"}}}};
}

nlohmann::json instanceRow(
    const std::string &id, const std::string &role, const std::string &address, const std::vector<std::string> &leaving)
{
    const bool isLeaving = std::find(leaving.begin(), leaving.end(), id) != leaving.end();
    return {{"id", id}, {"role", role}, {"state", isLeaving ? "leaving" : "live"}, {"data_centre", "dc-1"},
        {"address", address}};
}

} // namespace

Fleet::Fleet(const FleetOptions &options)
    : m_configuration("configuration", "configuration-1", m_directory.path())
    , m_instances("instances", "instances-1", m_directory.path())
    , m_service("service", "bookings-1", m_directory.path())
{
    for (int i = 1; i <= options.engines; ++i) {
        m_engines.emplace_back("engine", "engine-" + std::to_string(i), m_directory.path(), options.engineOptions);
    }
    for (int i = 1; i <= options.entries; ++i) {
        const EntryOptions entry{
            "entry-" + std::to_string(i), m_configuration.address(), m_instances.address(), options.drainMs};
        m_entries.emplace_back(entry, m_directory.path());
    }
    publishConfiguration();
    publishInstances();
    for (EntryProcess &it : m_entries) {
        it.start();
    }
    for (const EntryProcess &it : m_entries) {
        if (!it.waitUntilReady()) {
            throw std::runtime_error(it.id() + " did not become ready");
        }
    }
}

void Fleet::publishConfiguration()
{
    m_configuration.publish(configurationContent());
}

void Fleet::publishInstances(const std::vector<std::string> &leaving)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const EntryProcess &it : m_entries) {
        rows.push_back(instanceRow(it.id(), "entry", it.callerAddress(), leaving));
        rows.back()["peer_address"] = it.peerAddress();
    }
    for (const StandinProcess &it : m_engines) {
        rows.push_back(instanceRow(it.id(), "engine", it.address(), leaving));
        rows.back()["serves"] = {"m-large"};
        rows.back()["memory_tokens"] = engineMemoryTokens;
        rows.back()["checks_fencing"] = false;
    }
    rows.push_back(instanceRow(m_service.id(), "service", m_service.address(), leaving));
    rows.back()["serves"] = {"bookings"};
    m_instances.publish({{"instances", rows}});
}

void Fleet::replaceAddresses(SessionRecord &record) const
{
    for (const EntryProcess &it : m_entries) {
        record.replace(it.callerAddress(), "<" + it.id() + ">");
    }
    for (const StandinProcess &it : m_engines) {
        record.replace(it.address(), "<" + it.id() + ">");
    }
    record.replace(m_service.address(), "<" + m_service.id() + ">");
}

bool Fleet::waitUntilNoStreams(const StandinProcess &engine)
{
    return waitUntil([&engine] {
        return fetchJson(engine.address(), "/v1/streams").at("streams").empty();
    });
}

HttpRequest counterRequest(const std::string &requestId, int maxTokens, bool isStreamed)
{
    HttpRequest request{"POST", "/v1/completions",
        {{"X-Class", "counter"}, {"X-Organisation", "tambor-verde"}, {"X-Model", "m-large"},
            {"X-Request-Id", requestId}, {"X-Max-Tokens", std::to_string(maxTokens)}},
        R"({"model":"m-large","prompt":"Is drum head 4711 in stock?"})"};
    if (isStreamed) {
        request.headers.emplace_back("Accept", "text/event-stream");
    }
    return request;
}

HttpRequest withAssignedId(const HttpResponse &response, HttpRequest request)
{
    for (auto &[name, value] : request.headers) {
        if (name == "X-Request-Id") {
            value = response.headers.at("X-Request-Id");
        }
    }
    return request;
}

} // namespace magnolia::sessions
