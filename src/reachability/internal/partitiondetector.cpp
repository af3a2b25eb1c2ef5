// Implements the detection of partitions from all upstreams.
#include "reachability/partitiondetector.h"

#include <algorithm>
#include <set>
#include <string>
#include <tuple>

namespace magnolia::reachability
{

PartitionDetector::PartitionDetector(PartitionParameters parameters)
    : m_parameters(parameters)
{
}

void PartitionDetector::setUpstreams(std::vector<UpstreamRef> upstreams)
{
    m_upstreams = std::move(upstreams);
    std::erase_if(m_failures, [this](const auto &it) {
        return find(it.first) == nullptr;
    });
}

const UpstreamRef *PartitionDetector::find(std::uint64_t upstream) const
{
    const auto it = std::find_if(m_upstreams.begin(), m_upstreams.end(), [&](const UpstreamRef &known) {
        return known.key == upstream;
    });
    return it == m_upstreams.end() ? nullptr : &*it;
}

void PartitionDetector::forgetOldFailures(MonoTime now)
{
    std::erase_if(m_failures, [&](const auto &it) {
        return now - it.second > m_parameters.failureLifetime;
    });
}

PartitionDetector::Change PartitionDetector::recordFailure(std::uint64_t upstream, MonoTime startedAt, MonoTime now)
{
    // An upstream that could not be reached while another one was is at fault itself.
    if (startedAt < m_lastSuccessAt || find(upstream) == nullptr) {
        return Change::None;
    }
    forgetOldFailures(now);
    m_failures[upstream] = now;
    if (!areFailuresConclusive()) {
        return Change::None;
    }
    m_successCount = 0;
    if (m_partitionedSince) {
        return Change::None;
    }
    m_partitionedSince = now;
    return Change::Began;
}

bool PartitionDetector::areFailuresConclusive() const
{
    if (m_upstreams.size() < 2) {
        return false;
    }
    std::set<std::string> services;
    std::set<std::string> failedServices;
    for (const UpstreamRef &it : m_upstreams) {
        services.insert(it.service);
        if (m_failures.contains(it.key)) {
            failedServices.insert(it.service);
        }
    }
    return m_failures.size() >= std::min(m_parameters.minFailedUpstreams, m_upstreams.size())
        && failedServices.size() >= std::min(m_parameters.minFailedServices, services.size());
}

PartitionDetector::Change PartitionDetector::recordSuccess(MonoTime now)
{
    m_lastSuccessAt = now;
    m_failures.clear();
    if (!m_partitionedSince) {
        return Change::None;
    }
    if (++m_successCount < m_parameters.minSuccesses) {
        return Change::None;
    }
    m_successCount = 0;
    m_partitionedSince.reset();
    m_endedAt = now;
    return Change::Ended;
}

bool PartitionDetector::isPartitioned() const
{
    return m_partitionedSince.has_value();
}

std::optional<MonoTime> PartitionDetector::partitionedSince() const
{
    return m_partitionedSince;
}

bool PartitionDetector::wasPartitionedSince(MonoTime time) const
{
    return m_partitionedSince || (m_endedAt && *m_endedAt >= time);
}

MonoTime PartitionDetector::lastSuccessAt() const
{
    return m_lastSuccessAt;
}

std::vector<std::uint64_t> PartitionDetector::failedUpstreams() const
{
    std::vector<std::uint64_t> keys;
    keys.reserve(m_failures.size());
    for (const auto &[key, failedAt] : m_failures) {
        keys.push_back(key);
    }
    return keys;
}

std::vector<std::uint64_t> PartitionDetector::probeTargets(
    std::size_t count, std::uint64_t except, MonoTime now, Random &random) const
{
    const auto hasFailed = [&](std::uint64_t key) {
        const auto it = m_failures.find(key);
        return it != m_failures.end() && now - it->second <= m_parameters.failureLifetime;
    };
    const UpstreamRef *const excepted = find(except);
    std::set<std::string> knownServices;
    if (excepted != nullptr) {
        knownServices.insert(excepted->service);
    }
    for (const UpstreamRef &it : m_upstreams) {
        if (hasFailed(it.key)) {
            knownServices.insert(it.service);
        }
    }
    // Sorted by what tells most, then at random.
    std::vector<std::tuple<bool, bool, std::uint64_t, const UpstreamRef *>> order;
    for (const UpstreamRef &it : m_upstreams) {
        if (it.key != except) {
            order.emplace_back(hasFailed(it.key), knownServices.contains(it.service), random.next(), &it);
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<std::uint64_t> targets;
    std::vector<std::uint64_t> others;
    for (const auto &[isFailed, isKnownService, number, it] : order) {
        const bool isFirstOfService = !isFailed && knownServices.insert(it->service).second;
        (isFirstOfService ? targets : others).push_back(it->key);
    }
    targets.insert(targets.end(), others.begin(), others.end());
    targets.resize(std::min(targets.size(), count));
    return targets;
}

Milliseconds PartitionDetector::probeInterval() const
{
    return m_parameters.probeInterval;
}

} // namespace magnolia::reachability
