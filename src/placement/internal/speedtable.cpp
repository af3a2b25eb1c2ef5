// Speeds of engines, measured from the first events of placements.
#include "placement/speedtable.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace magnolia::placement
{

namespace
{

/** Weight below which a record is dropped. */
constexpr double minKeptWeight = 0.01;
/** Members expected within this share of the last one share the measurement. */
constexpr double lastShare = 0.95;

} // namespace

SpeedTable::SpeedTable(SpeedParameters parameters)
    : m_parameters(parameters)
{
}

double SpeedTable::decayFactor(const Record &record, MonoTime now) const
{
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - record.updatedAt).count();
    return std::exp(-std::max(0.0, elapsedMs) / std::max<double>(1, static_cast<double>(m_parameters.memory.count())));
}

void SpeedTable::add(UpstreamKey upstream, double ratio, double weight, MonoTime now)
{
    if (!m_records.contains(upstream)) {
        std::erase_if(m_records, [&](const auto &it) {
            return it.second.weight * decayFactor(it.second, now) < minKeptWeight;
        });
    }
    Record &record = m_records[upstream];
    const double kept = decayFactor(record, now) * std::pow(m_parameters.keptShare, weight);
    record.weight = record.weight * kept + weight;
    record.weightedRatios = record.weightedRatios * kept + weight * ratio;
    record.updatedAt = std::max(record.updatedAt, now);
}

void SpeedTable::recordFirstEvent(std::span<const ExpectedFirstEvent> members, double elapsedMs, MonoTime now)
{
    double last = 0;
    for (const ExpectedFirstEvent &it : members) {
        last = std::max(last, it.ms * slowdown(it.upstream, now));
    }
    if (!(last > 0) || !std::isfinite(elapsedMs) || elapsedMs < 0) {
        return;
    }
    const auto isLast = [&](const ExpectedFirstEvent &it) {
        return it.ms * slowdown(it.upstream, now) >= last * lastShare;
    };
    const auto ratioOf = [&](const ExpectedFirstEvent &it) {
        return std::clamp(elapsedMs / std::max(it.ms, 1.0), m_parameters.minRatio, m_parameters.maxRatio);
    };
    const auto lastCount = static_cast<double>(std::count_if(members.begin(), members.end(), isLast));
    struct Measurement
    {
        UpstreamKey upstream;
        double ratio;
        double weight;
    };
    std::vector<Measurement> measurements;
    for (const ExpectedFirstEvent &it : members) {
        const double ratio = ratioOf(it);
        if (isLast(it)) {
            // Slowness is divided among those that may have caused it, but none of them was slower than this.
            measurements.push_back({it.upstream, ratio, ratio > slowdown(it.upstream, now) ? 1 / lastCount : 1});
        } else if (ratio < slowdown(it.upstream, now)) {
            measurements.push_back({it.upstream, ratio, 1});
        }
    }
    for (const Measurement &it : measurements) {
        add(it.upstream, it.ratio, it.weight, now);
    }
}

double SpeedTable::slowdown(UpstreamKey upstream, MonoTime now) const
{
    const auto found = m_records.find(upstream);
    if (found == m_records.end()) {
        return 1;
    }
    const Record &record = found->second;
    const double decay = decayFactor(record, now);
    const double slowdown = (m_parameters.priorWeight + record.weightedRatios * decay)
        / (m_parameters.priorWeight + record.weight * decay);
    return std::clamp(slowdown / m_parameters.expectedContention, 1.0, m_parameters.maxRatio);
}

std::size_t SpeedTable::size() const
{
    return m_records.size();
}

} // namespace magnolia::placement
