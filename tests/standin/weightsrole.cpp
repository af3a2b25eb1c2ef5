// Serves reads of weights under a token bucket.
#include "standin/weightsrole.h"

#include "standin/exchange.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace magnolia::standin
{

WeightsRole::WeightsRole(double ratePerSecond)
    : m_ratePerSecond(ratePerSecond)
    , m_bucketCapacity(std::max(1.0, ratePerSecond))
    , m_tokens(m_bucketCapacity)
    , m_refilledAt(std::chrono::steady_clock::now())
{
}

void WeightsRole::handle(Exchange &exchange)
{
    const auto name = exchange.pathWithoutPrefix("/v1/weights/");
    if (!name) {
        exchange.sendJson(404, {{"error", "unknown path"}});
        return;
    }
    if (!tryTakeToken()) {
        exchange.setHeader("Retry-After", "1");
        exchange.sendJson(429, {{"error", "rate limit exceeded"}});
        return;
    }
    exchange.context().journal.add({"", *name, exchange.method(), exchange.path(), "", 0, 0});
    if (exchange.applyResponseFaults()) {
        exchange.sendText(200, "application/octet-stream", "weights of " + *name);
    }
}

bool WeightsRole::publish(const nlohmann::json &)
{
    return false;
}

bool WeightsRole::tryTakeToken()
{
    const std::lock_guard lock(m_mutex);
    const MonoTime now = std::chrono::steady_clock::now();
    const double elapsedSeconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_bucketCapacity, m_tokens + elapsedSeconds * m_ratePerSecond);
    m_refilledAt = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace magnolia::standin
