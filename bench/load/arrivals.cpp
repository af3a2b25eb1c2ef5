// Generates arrivals by thinning (Lewis, Shedler: "Simulation of nonhomogeneous Poisson processes by thinning", 1979).
#include "arrivals.h"

#include <algorithm>
#include <cmath>

namespace magnolia::load
{

namespace
{

constexpr double rampSeconds = 2;
constexpr double peakPeriodShare = 0.25;
// Tail index of the lengths of short prompts: most are close to the minimum.
constexpr double shortTailIndex = 1.1;

/** Returns a value of the bounded Pareto distribution by inverting it at `uniform`, in [0, 1). */
double boundedPareto(double min, double max, double tailIndex, double uniform)
{
    const double ratio = std::pow(min / max, tailIndex);
    return min / std::pow(1 - uniform * (1 - ratio), 1 / tailIndex);
}

std::uint64_t drawPromptTokens(const ArrivalOptions &options, Random &random)
{
    if (options.fixedPromptTokens != 0) {
        return options.fixedPromptTokens;
    }
    if (random.chance(options.longPromptShare)) {
        const double logRange = std::log(static_cast<double>(maxPromptTokens) / longPromptThresholdTokens);
        return static_cast<std::uint64_t>(longPromptThresholdTokens * std::exp(logRange * random.unit()));
    }
    return static_cast<std::uint64_t>(
        boundedPareto(minPromptTokens, longPromptThresholdTokens, shortTailIndex, random.unit()));
}

std::vector<double> cumulativeZipfWeights(std::uint64_t count, double exponent)
{
    std::vector<double> sums;
    double sum = 0;
    for (std::uint64_t rank = 1; rank <= count; ++rank) {
        sum += 1 / std::pow(static_cast<double>(rank), exponent);
        sums.push_back(sum);
    }
    return sums;
}

std::uint64_t drawZipfRank(const std::vector<double> &cumulative, Random &random)
{
    const auto it = std::lower_bound(cumulative.begin(), cumulative.end(), random.unit() * cumulative.back());
    return static_cast<std::uint64_t>(it - cumulative.begin());
}

} // namespace

double demandFactor(const ArrivalOptions &options, double timeSeconds)
{
    const auto periodSeconds = static_cast<double>(options.peakPeriod.count());
    const double peakSeconds = periodSeconds * peakPeriodShare;
    const double peakStart = periodSeconds / 2;
    const double phase = std::fmod(timeSeconds, periodSeconds);
    const double rise = std::clamp((phase - peakStart) / rampSeconds, 0.0, 1.0);
    const double fall = std::clamp((peakStart + peakSeconds + rampSeconds - phase) / rampSeconds, 0.0, 1.0);
    return 1 + (options.peakFactor - 1) * std::min(rise, fall);
}

std::vector<Arrival> makeArrivals(const ArrivalOptions &options, Random &random)
{
    const std::vector<double> organisations = cumulativeZipfWeights(options.organisations, options.zipfExponent);
    const double maxRate = options.ratePerSecond * std::max(1.0, options.peakFactor);
    const auto end = static_cast<double>(options.duration.count());
    std::vector<Arrival> arrivals;
    double time = random.exponential(1 / maxRate);
    while (time < end) {
        if (random.unit() * maxRate < options.ratePerSecond * demandFactor(options, time)) {
            const Microseconds at(static_cast<std::int64_t>(time * 1e6));
            const std::uint64_t tokens = drawPromptTokens(options, random);
            arrivals.push_back({at, tokens, drawZipfRank(organisations, random)});
        }
        time += random.exponential(1 / maxRate);
    }
    return arrivals;
}

} // namespace magnolia::load
