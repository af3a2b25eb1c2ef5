// Calculates the summary of a run from its outcomes.
#include "outcomes.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace magnolia::bench
{

namespace
{

constexpr std::size_t quartileCount = 4;

/** Returns the lowest share of answered requests among the quartiles by prompt length. */
double worstQuartileServed(std::vector<const Outcome *> outcomes)
{
    std::sort(outcomes.begin(), outcomes.end(), [](const Outcome *a, const Outcome *b) {
        return a->arrival->promptTokens < b->arrival->promptTokens;
    });
    double worst = 1;
    for (std::size_t quartile = 0; quartile < quartileCount && outcomes.size() >= quartileCount; ++quartile) {
        const std::size_t first = outcomes.size() * quartile / quartileCount;
        const std::size_t last = outcomes.size() * (quartile + 1) / quartileCount;
        const auto served = std::count_if(outcomes.begin() + static_cast<std::ptrdiff_t>(first),
            outcomes.begin() + static_cast<std::ptrdiff_t>(last), [](const Outcome *it) {
                return it->isDone();
            });
        worst = std::min(worst, static_cast<double>(served) / static_cast<double>(last - first));
    }
    return worst;
}

/** Length of the windows that are compared; a short peak fills the queues in about this time. */
constexpr double windowSeconds = 2;
constexpr std::size_t worstWindowCount = 2;

double worstWindows(const std::vector<Outcome> &outcomes)
{
    struct Window
    {
        double served = 0;
        double requests = 0;
    };
    std::map<int, Window> windows;
    for (const Outcome &it : outcomes) {
        const double arrivalSecond = std::chrono::duration<double>(it.arrival->at.time_since_epoch()).count();
        Window &window = windows[static_cast<int>(arrivalSecond / windowSeconds)];
        window.served += it.isDone() ? 1 : 0;
        window.requests += 1;
    }
    std::vector<double> shares;
    shares.reserve(windows.size());
    for (const auto &[number, it] : windows) {
        shares.push_back(it.served / it.requests);
    }
    std::sort(shares.begin(), shares.end());
    shares.resize(std::min(shares.size(), worstWindowCount));
    double sum = 0;
    for (const double it : shares) {
        sum += it;
    }
    return shares.empty() ? 0 : sum / static_cast<double>(shares.size());
}

std::vector<LengthSummary> summariseByLength(const std::vector<Outcome> &outcomes)
{
    constexpr double minTokens = 1000;
    std::map<int, std::vector<double>> bins;
    for (const Outcome &it : outcomes) {
        if (it.isDone()) {
            const double doublings = std::log2(std::max(it.arrival->promptTokens, minTokens) / minTokens);
            bins[static_cast<int>(doublings)].push_back(it.firstEventMs);
        }
    }
    std::vector<LengthSummary> lengths;
    lengths.reserve(bins.size());
    constexpr double lowerQuantile = 0.05;
    constexpr double median = 0.5;
    constexpr double upperQuantile = 0.95;
    for (const auto &[doublings, firstEvents] : bins) {
        lengths.push_back({minTokens * std::exp2(doublings), firstEvents.size(), quantile(firstEvents, lowerQuantile),
            quantile(firstEvents, median), quantile(firstEvents, upperQuantile)});
    }
    return lengths;
}

} // namespace

double quantile(std::vector<double> values, double probability)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::floor(probability * static_cast<double>(values.size() - 1) + 0.5));
    return values[std::min(index, values.size() - 1)];
}

RunSummary summarise(const Workload &workload, const std::vector<Outcome> &outcomes, double busyShare)
{
    RunSummary summary;
    summary.busyShare = busyShare;
    std::size_t served = 0;
    std::size_t onTime = 0;
    for (std::size_t i = 0; i < workload.classes.size(); ++i) {
        const PromptClass &promptClass = workload.classes[i];
        ClassSummary classSummary;
        classSummary.name = promptClass.name;
        std::vector<double> firstEvents;
        std::vector<double> gaps;
        std::vector<const Outcome *> classOutcomes;
        std::vector<double> finalRefusals;
        for (const Outcome &it : outcomes) {
            if (it.arrival->promptClass != i) {
                continue;
            }
            classOutcomes.push_back(&it);
            ++classSummary.requestCount;
            classSummary.refusals += static_cast<std::size_t>(it.refusals);
            if (it.isDone()) {
                firstEvents.push_back(it.firstEventMs);
                gaps.push_back(it.maxGapMs);
                classSummary.lateFirstEvents += it.hasLateFirstEvent(promptClass) ? 1 : 0;
                classSummary.longGaps += it.hasLongGap(promptClass) ? 1 : 0;
                ++classSummary.gapCauses[static_cast<std::size_t>(it.gapCause)];
                ++(it.isOnTime(promptClass) ? classSummary.onTime : classSummary.late);
            } else {
                ++classSummary.lost;
                if (it.finalRefusalMs >= 0) {
                    finalRefusals.push_back(it.finalRefusalMs);
                }
            }
        }
        const std::size_t classServed = classSummary.onTime + classSummary.late;
        classSummary.served = classSummary.requestCount == 0
            ? 0
            : static_cast<double>(classServed) / static_cast<double>(classSummary.requestCount);
        constexpr double median = 0.5;
        constexpr double upperQuantile = 0.95;
        classSummary.firstEventMedianMs = quantile(firstEvents, median);
        classSummary.finalRefusalMedianMs = quantile(finalRefusals, median);
        classSummary.firstEventP95Ms = quantile(firstEvents, upperQuantile);
        classSummary.gapP95Ms = quantile(gaps, upperQuantile);
        std::sort(classOutcomes.begin(), classOutcomes.end(), [](const Outcome *a, const Outcome *b) {
            return a->arrival->promptTokens < b->arrival->promptTokens;
        });
        const std::size_t firstOfTenth = classOutcomes.size() * 9 / 10;
        for (std::size_t n = firstOfTenth; n < classOutcomes.size(); ++n) {
            const double share = 1.0 / static_cast<double>(classOutcomes.size() - firstOfTenth);
            classSummary.largestTenthOnTime += classOutcomes[n]->isOnTime(promptClass) ? share : 0;
            classSummary.largestTenthServed += classOutcomes[n]->isDone() ? share : 0;
        }
        classSummary.worstQuartileServed = worstQuartileServed(classOutcomes);
        served += classServed;
        onTime += classSummary.onTime;
        summary.classes.push_back(std::move(classSummary));
    }
    const double requests = std::max(1.0, static_cast<double>(outcomes.size()));
    summary.served = static_cast<double>(served) / requests;
    summary.onTime = static_cast<double>(onTime) / requests;
    summary.worstWindows = worstWindows(outcomes);
    summary.lengths = summariseByLength(outcomes);
    return summary;
}

} // namespace magnolia::bench
