// Executes calls and reports the load of a plain service.
#include "standin/servicerole.h"

#include "standin/exchange.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace magnolia::standin
{

void ServiceRole::handle(Exchange &exchange)
{
    if (exchange.path() == "/v1/load") {
        exchange.sendJson(200,
            {{"running", m_running.load()}, {"waiting", 0}, {"measured_ago_ms", 0},
                {"leaving", exchange.context().faults.isLeaving.load()}});
        return;
    }
    ++m_running;
    try {
        executeCall(exchange);
    } catch (...) {
        --m_running;
        throw;
    }
    --m_running;
}

bool ServiceRole::publish(const nlohmann::json &)
{
    return false;
}

void ServiceRole::executeCall(Exchange &exchange)
{
    const BodyDigest body = exchange.readBodyDigest();
    const std::string requestId = exchange.header("X-Request-Id");
    if (!body.isComplete) {
        exchange.abortConnection();
        return;
    }
    exchange.setHeader("X-Request-Id", exchange.context().faults.crossesAnswers ? requestId + "-other" : requestId);
    if (exchange.context().faults.isLeaving) {
        exchange.setHeader("X-Leaving", "1");
        exchange.sendJson(503, {{"error", "leaving"}});
        return;
    }
    const std::uint64_t count = exchange.context().journal.add({requestId, exchange.header("Idempotency-Key"),
        exchange.method(), exchange.path(), toHex(body.hash), body.bytes, 0});
    std::this_thread::sleep_for(m_workTime);
    if (!exchange.applyResponseFaults()) {
        return;
    }
    exchange.sendJson(200,
        {{"request_id", requestId}, {"method", exchange.method()}, {"path", exchange.path()},
            {"body_hash", toHex(body.hash)}, {"body_bytes", body.bytes}, {"count", count}});
}

} // namespace magnolia::standin
