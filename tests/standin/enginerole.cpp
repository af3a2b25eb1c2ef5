// Dispatches the requests to an engine by path.
#include "standin/enginerole.h"

#include "standin/engineanswers.h"
#include "standin/exchange.h"

#include <nlohmann/json.hpp>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

namespace magnolia::standin
{

namespace
{

constexpr std::int64_t defaultReservationMs = 10'000;

MonoTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

/** Asks another engine for the size of the KV under `handle`, in tokens. Returns nothing if the engine answers with an
 * error. Throws if the call fails. */
std::optional<std::uint64_t> fetchKvTokens(const std::string &engine, const std::string &handle)
{
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(engine)};
    Poco::Net::HTTPRequest request("GET", "/v1/kv/" + handle, "HTTP/1.1");
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::istream &in = session.receiveResponse(response);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
        return std::nullopt;
    }
    return nlohmann::json::parse(in).at("tokens").get<std::uint64_t>();
}

} // namespace

EngineRole::EngineRole(const EngineOptions &options, Faults &faults)
    : m_core(options, faults)
    , m_orders(options.model, options.checksFencing, options.modelLoadTime)
{
}

void EngineRole::handle(Exchange &exchange)
{
    const std::string &path = exchange.path();
    if (path == "/v1/completions") {
        handleCompletion(exchange, m_core);
    } else if (path == "/v1/load") {
        exchange.sendJson(200, m_core.loadToJson());
    } else if (path.starts_with("/v1/streams")) {
        handleStreams(exchange);
    } else if (path.starts_with("/v1/reservations")) {
        handleReservations(exchange);
    } else if (path.starts_with("/v1/kv/")) {
        handleKv(exchange);
    } else if (path == "/v1/cache/events") {
        exchange.sendJson(200, m_core.cacheEvents(exchange.numericParameter("after").value_or(0)));
    } else if (path == "/v1/orders") {
        handleOrders(exchange);
    } else {
        exchange.sendJson(404, {{"error", "unknown path"}});
    }
}

bool EngineRole::publish(const nlohmann::json &)
{
    return false;
}

void EngineRole::handleStreams(Exchange &exchange)
{
    if (exchange.path() == "/v1/streams") {
        exchange.sendJson(200, m_core.streamsToJson());
    } else if (exchange.method() == "DELETE") {
        const std::string id = exchange.pathWithoutPrefix("/v1/streams/").value_or("");
        exchange.sendJson(200, {{"freed_tokens", m_core.cancel(id)}});
    } else {
        handleResume(exchange, m_core);
    }
}

void EngineRole::handleReservations(Exchange &exchange)
{
    if (exchange.method() == "GET") {
        exchange.sendJson(200, m_core.reservationsToJson());
        return;
    }
    if (exchange.method() == "DELETE") {
        m_core.releaseReservation(exchange.pathWithoutPrefix("/v1/reservations/").value_or(""));
        exchange.sendJson(200, nlohmann::json::object());
        return;
    }
    const nlohmann::json body = exchange.readJson();
    const Milliseconds ttl(body.value("ttl_ms", defaultReservationMs));
    const Reservation reservation{
        body.value("owner", ""), body.at("tokens").get<std::uint64_t>(), monotonicNow() + ttl, ""};
    const bool isReserved = m_core.reserve(body.at("id").get<std::string>(), reservation);
    exchange.sendJson(isReserved ? 201 : 409, nlohmann::json::object());
}

void EngineRole::handleKv(Exchange &exchange)
{
    if (exchange.path() == "/v1/kv/export") {
        const auto exported = m_core.exportKv(exchange.readJson().at("request_id").get<std::string>());
        if (exported) {
            exchange.sendJson(200, {{"handle", exported->first}, {"tokens", exported->second}});
        } else {
            exchange.sendJson(404, {{"error", "stream not found"}});
        }
        return;
    }
    if (exchange.path() == "/v1/kv/import") {
        importKv(exchange);
        return;
    }
    const std::string handle = exchange.pathWithoutPrefix("/v1/kv/").value_or("");
    if (exchange.method() == "DELETE") {
        exchange.sendJson(200, {{"freed_tokens", m_core.removeKv(handle)}});
        return;
    }
    // Called by other engines during an import; magnoliastream does not use this path.
    const auto tokens = m_core.kvTokens(handle);
    exchange.sendJson(tokens ? 200 : 404, {{"tokens", tokens.value_or(0)}});
}

void EngineRole::importKv(Exchange &exchange)
{
    const nlohmann::json body = exchange.readJson();
    const auto handle = body.at("handle").get<std::string>();
    const auto tokens = fetchKvTokens(body.at("from").get<std::string>(), handle);
    if (!tokens) {
        exchange.sendJson(404, {{"error", "the source engine does not hold this handle"}});
        return;
    }
    if (!m_core.importKv(handle, *tokens, body.value("reservation", ""))) {
        exchange.sendJson(409, {{"error", "not enough free KV memory"}});
        return;
    }
    exchange.sendJson(200, {{"handle", handle}, {"tokens", *tokens}});
}

void EngineRole::handleOrders(Exchange &exchange)
{
    if (exchange.method() == "GET") {
        exchange.sendJson(200, m_orders.toJson(monotonicNow()));
        return;
    }
    const bool isAccepted = m_orders.apply(exchange.readJson(), monotonicNow());
    const nlohmann::json state = m_orders.toJson(monotonicNow());
    exchange.sendJson(isAccepted ? 200 : 409, {{"highest_fencing", state["highest_fencing"]}});
}

} // namespace magnolia::standin
