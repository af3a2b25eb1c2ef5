// Figures by class.
#include "outcomes.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace magnolia::bench
{

namespace
{

constexpr std::size_t quarters = 4;

/** Least share served among quarters of equal number, sorted by prompt size. */
double worstQuarter(std::vector<const Outcome *> outcomes)
{
    std::sort(outcomes.begin(), outcomes.end(), [](const Outcome *a, const Outcome *b) {
        return a->arrival->promptTokens < b->arrival->promptTokens;
    });
    double worst = 1;
    for (std::size_t q = 0; q < quarters && outcomes.size() >= quarters; ++q) {
        const std::size_t first = outcomes.size() * q / quarters;
        const std::size_t last = outcomes.size() * (q + 1) / quarters;
        const auto served = std::count_if(outcomes.begin() + static_cast<std::ptrdiff_t>(first),
            outcomes.begin() + static_cast<std::ptrdiff_t>(last), [](const Outcome *it) {
                return it->isDone();
            });
        worst = std::min(worst, static_cast<double>(served) / static_cast<double>(last - first));
    }
    return worst;
}

/** Windows in which service is judged, as long as a short crest needs to fill the queues. */
constexpr double windowSeconds = 2;
constexpr std::size_t worstCount = 2;

double worstWindows(const Workload &workload, const std::vector<Outcome> &outcomes)
{
    struct Window
    {
        double earned = 0;
        double asked = 0;
    };
    std::map<int, Window> windows;
    for (const Outcome &it : outcomes) {
        const PromptClass &promptClass = workload.classes[it.arrival->promptClass];
        const double second = std::chrono::duration<double>(it.arrival->at.time_since_epoch()).count();
        Window &window = windows[static_cast<int>(second / windowSeconds)];
        window.earned += it.earned(promptClass);
        window.asked += promptClass.worth;
    }
    std::vector<double> shares;
    shares.reserve(windows.size());
    for (const auto &[number, it] : windows) {
        shares.push_back(it.asked > 0 ? it.earned / it.asked : 1);
    }
    std::sort(shares.begin(), shares.end());
    shares.resize(std::min(shares.size(), worstCount));
    double sum = 0;
    for (const double it : shares) {
        sum += it;
    }
    return shares.empty() ? 0 : sum / static_cast<double>(shares.size());
}

std::vector<LengthFigures> byLength(const std::vector<Outcome> &outcomes)
{
    constexpr double shortest = 1000;
    std::map<int, std::vector<double>> bins;
    for (const Outcome &it : outcomes) {
        if (it.isDone()) {
            const double doublings = std::log2(std::max(it.arrival->promptTokens, shortest) / shortest);
            bins[static_cast<int>(doublings)].push_back(it.firstMs);
        }
    }
    std::vector<LengthFigures> lengths;
    lengths.reserve(bins.size());
    constexpr double low = 0.05;
    constexpr double middle = 0.5;
    constexpr double high = 0.95;
    for (const auto &[doublings, firsts] : bins) {
        lengths.push_back({shortest * std::exp2(doublings), firsts.size(), quantile(firsts, low),
            quantile(firsts, middle), quantile(firsts, high)});
    }
    return lengths;
}

} // namespace

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(std::floor(share * static_cast<double>(values.size() - 1) + 0.5));
    return values[std::min(at, values.size() - 1)];
}

Figures sumUp(const Workload &workload, const std::vector<Outcome> &outcomes, double busyShare)
{
    Figures figures;
    figures.busyShare = busyShare;
    double earnedOfAll = 0;
    double worthOfAll = 0;
    for (std::size_t i = 0; i < workload.classes.size(); ++i) {
        const PromptClass &promptClass = workload.classes[i];
        ClassFigures made;
        made.name = promptClass.name;
        std::vector<double> firsts;
        std::vector<double> gaps;
        std::vector<const Outcome *> ofClass;
        double earned = 0;
        for (const Outcome &it : outcomes) {
            if (it.arrival->promptClass != i) {
                continue;
            }
            ofClass.push_back(&it);
            ++made.asked;
            made.refusals += static_cast<std::size_t>(it.refusals);
            earned += it.earned(promptClass);
            if (it.isDone()) {
                firsts.push_back(it.firstMs);
                gaps.push_back(it.longestGapMs);
                ++(it.isOnTime(promptClass) ? made.onTime : made.late);
            } else {
                ++made.lost;
            }
        }
        const double whole = promptClass.worth * static_cast<double>(made.asked);
        made.worth = whole > 0 ? earned / whole : 0;
        constexpr double middle = 0.5;
        constexpr double nearlyAll = 0.95;
        made.firstMsMedian = quantile(firsts, middle);
        made.firstMsP95 = quantile(firsts, nearlyAll);
        made.gapMsP95 = quantile(gaps, nearlyAll);
        made.worstQuarter = worstQuarter(ofClass);
        earnedOfAll += earned;
        worthOfAll += whole;
        figures.classes.push_back(std::move(made));
    }
    figures.worth = worthOfAll > 0 ? earnedOfAll / worthOfAll : 0;
    figures.worstWindows = worstWindows(workload, outcomes);
    figures.lengths = byLength(outcomes);
    return figures;
}

} // namespace magnolia::bench
