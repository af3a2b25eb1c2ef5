// Latency histograms, their quantiles and their JSON form.
#include "measures.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace magnolia::load
{

namespace
{

constexpr double minLatencyMs = 0.01;
constexpr double maxLatencyMs = 1e6;
constexpr unsigned binCount = 3700;

std::size_t lengthBucketIndex(std::uint64_t promptTokens)
{
    if (promptTokens <= 4'000) {
        return 0;
    }
    if (promptTokens <= 32'000) {
        return 1;
    }
    return promptTokens <= 100'000 ? 2 : 3;
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_counts(std::tuple(Axis(binCount, minLatencyMs, maxLatencyMs)), boost::histogram::unlimited_storage<>())
{
}

void LatencyHistogram::add(double milliseconds)
{
    m_counts(std::max(milliseconds, minLatencyMs));
    ++m_total;
}

double LatencyHistogram::quantile(double probability) const
{
    const double wantedCount = probability * static_cast<double>(m_total);
    double cumulativeCount = 0;
    for (const auto &bin : boost::histogram::indexed(m_counts)) {
        cumulativeCount += *bin;
        if (cumulativeCount >= wantedCount && cumulativeCount > 0) {
            return std::sqrt(bin.bin().lower() * bin.bin().upper());
        }
    }
    return m_total == 0 ? 0 : maxLatencyMs;
}

nlohmann::json LatencyHistogram::toJson() const
{
    return {{"count", m_total}, {"p50", quantile(0.5)}, {"p95", quantile(0.95)}, {"p99", quantile(0.99)}};
}

void Measures::add(std::uint64_t promptTokens, const CallResult &result)
{
    const std::lock_guard lock(m_mutex);
    addTo(m_all, result);
    addTo(m_byLength.at(lengthBucketIndex(promptTokens)), result);
    ++m_statuses[result.status];
    m_tokens += result.tokens;
}

nlohmann::json Measures::toJson() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json json = bucketToJson(m_all);
    json["tokens"] = m_tokens;
    for (const auto &[status, count] : m_statuses) {
        json["statuses"][std::to_string(status)] = count;
    }
    for (std::size_t i = 0; i < bucketNames.size(); ++i) {
        if (!m_byLength[i].outcomes.empty()) {
            json["by_prompt_length"][bucketNames[i]] = bucketToJson(m_byLength[i]);
        }
    }
    return json;
}

void Measures::addTo(Bucket &bucket, const CallResult &result)
{
    ++bucket.outcomes[result.outcome];
    for (const float it : result.gapsMs) {
        bucket.gap.add(it);
    }
    if (result.outcome == "whole") {
        bucket.firstToken.add(result.firstTokenMs);
        bucket.finish.add(result.finishMs);
    }
}

nlohmann::json Measures::bucketToJson(const Bucket &bucket)
{
    return {{"outcomes", bucket.outcomes}, {"first_token_ms", bucket.firstToken.toJson()},
        {"gap_ms", bucket.gap.toJson()}, {"finish_ms", bucket.finish.toJson()}};
}

} // namespace magnolia::load
