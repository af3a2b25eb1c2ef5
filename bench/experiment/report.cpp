// Formats the summaries of several policies for comparison.
#include "report.h"

#include "plot.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <iomanip>
#include <sstream>

namespace magnolia::bench
{

namespace
{

using Json = nlohmann::ordered_json;
using Metric = std::function<double(const RunSummary &)>;

struct Spread
{
    double median = 0;
    double min = 0;
    double max = 0;
};

Spread spreadOverSeeds(const std::vector<RunSummary> &seeds, const Metric &metric)
{
    std::vector<double> values;
    values.reserve(seeds.size());
    for (const RunSummary &it : seeds) {
        values.push_back(metric(it));
    }
    constexpr double median = 0.5;
    return {quantile(values, median), quantile(values, 0), quantile(values, 1)};
}

Metric classMetric(std::size_t i, double ClassSummary::*field)
{
    return [i, field](const RunSummary &it) {
        return it.classes[i].*field;
    };
}

Metric classShareMetric(std::size_t i, std::size_t ClassSummary::*field)
{
    return [i, field](const RunSummary &it) {
        const ClassSummary &classSummary = it.classes[i];
        return classSummary.requestCount == 0
            ? 0
            : static_cast<double>(classSummary.*field) / static_cast<double>(classSummary.requestCount);
    };
}

double servedOf(const RunSummary &it)
{
    return it.served;
}

double worstWindowsOf(const RunSummary &it)
{
    return it.worstWindows;
}

double slowdownOf(const RunSummary &it)
{
    return it.slowdownP95;
}

double busyOf(const RunSummary &it)
{
    return it.busyShare;
}

} // namespace

std::string textTable(
    const Workload &workload, const std::vector<std::string> &policies, const SummariesByPolicy &summaries)
{
    std::ostringstream out;
    constexpr int nameWidth = 23;
    constexpr int cellWidth = 8;
    const auto cell = [&out](double value, int digits) {
        out << std::setw(cellWidth) << std::fixed << std::setprecision(digits) << value;
    };
    out << workload.name << ": medians over the seeds; counts as shares of all requests, times in ms\n";
    out << std::left << std::setw(nameWidth) << "policy" << std::right;
    for (const char *const name : {"served", "least", "most", "worst 2", "slowed", "busy"}) {
        out << std::setw(cellWidth) << name;
    }
    out << '\n';
    for (const std::string &policy : policies) {
        const Spread served = spreadOverSeeds(summaries.at(policy), servedOf);
        out << std::left << std::setw(nameWidth) << policy << std::right;
        cell(served.median, 3);
        cell(served.min, 3);
        cell(served.max, 3);
        cell(spreadOverSeeds(summaries.at(policy), worstWindowsOf).median, 3);
        cell(spreadOverSeeds(summaries.at(policy), slowdownOf).median, 2);
        cell(spreadOverSeeds(summaries.at(policy), busyOf).median, 2);
        out << '\n';
    }
    for (std::size_t i = 0; i < workload.classes.size(); ++i) {
        out << '\n' << std::left << std::setw(nameWidth) << workload.classes[i].name << std::right;
        for (const char *const name : {"served", "on time", "late", "lost", "first", "p95", "gap p95", "quarter",
                 "tenth", "late 1st", "long gap", "uneven"}) {
            out << std::setw(cellWidth) << name;
        }
        out << '\n';
        for (const std::string &policy : policies) {
            const auto &seeds = summaries.at(policy);
            out << std::left << std::setw(nameWidth) << policy << std::right;
            cell(spreadOverSeeds(seeds, classMetric(i, &ClassSummary::served)).median, 3);
            cell(spreadOverSeeds(seeds, classShareMetric(i, &ClassSummary::onTime)).median, 3);
            cell(spreadOverSeeds(seeds, classShareMetric(i, &ClassSummary::late)).median, 3);
            cell(spreadOverSeeds(seeds, classShareMetric(i, &ClassSummary::lost)).median, 3);
            cell(spreadOverSeeds(seeds, classMetric(i, &ClassSummary::firstEventMedianMs)).median, 0);
            cell(spreadOverSeeds(seeds, classMetric(i, &ClassSummary::firstEventP95Ms)).median, 0);
            cell(spreadOverSeeds(seeds, classMetric(i, &ClassSummary::gapP95Ms)).median, 0);
            cell(spreadOverSeeds(seeds, classMetric(i, &ClassSummary::worstQuartileServed)).median, 2);
            cell(spreadOverSeeds(seeds, classMetric(i, &ClassSummary::largestTenthOnTime)).median, 3);
            cell(spreadOverSeeds(seeds, classShareMetric(i, &ClassSummary::lateFirstEvents)).median, 3);
            cell(spreadOverSeeds(seeds, classShareMetric(i, &ClassSummary::longGaps)).median, 3);
            cell(spreadOverSeeds(seeds, classMetric(i, &ClassSummary::busiestOverMean)).median, 2);
            std::array<std::size_t, std::tuple_size_v<decltype(ClassSummary::gapCauses)>> causes{};
            for (const RunSummary &seed : seeds) {
                for (std::size_t cause = 0; cause < causes.size(); ++cause) {
                    causes[cause] += seed.classes[i].gapCauses[cause];
                }
            }
            out << "  gaps by slow engine " << causes[1] << ", helper " << causes[2] << ", first class " << causes[3]
                << ", other " << causes[4] << ", unknown " << causes[5];
            out << '\n';
        }
    }
    return out.str();
}

std::string jsonReport(
    const Workload &workload, const std::vector<std::string> &policies, const SummariesByPolicy &summaries)
{
    Json report;
    report["workload"] = workload.name;
    for (const std::string &policy : policies) {
        for (const RunSummary &it : summaries.at(policy)) {
            Json run{{"served", it.served}, {"on_time", it.onTime}, {"worst_windows", it.worstWindows},
                {"slowdown_p95", it.slowdownP95}, {"busy_share", it.busyShare}};
            for (const ClassSummary &classSummary : it.classes) {
                run["classes"][classSummary.name]
                    = {{"asked", classSummary.requestCount}, {"on_time", classSummary.onTime},
                        {"late", classSummary.late}, {"lost", classSummary.lost}, {"refusals", classSummary.refusals},
                        {"served", classSummary.served}, {"final_refusal_ms_median", classSummary.finalRefusalMedianMs},
                        {"first_ms_median", classSummary.firstEventMedianMs},
                        {"first_ms_p95", classSummary.firstEventP95Ms}, {"gap_ms_p95", classSummary.gapP95Ms},
                        {"worst_quarter", classSummary.worstQuartileServed}};
            }
            for (const LengthSummary &lengthSummary : it.lengths) {
                run["lengths"].push_back({{"from_tokens", lengthSummary.minTokens}, {"count", lengthSummary.count},
                    {"first_ms_p5", lengthSummary.firstEventP5Ms},
                    {"first_ms_median", lengthSummary.firstEventMedianMs},
                    {"first_ms_p95", lengthSummary.firstEventP95Ms}});
            }
            report["policies"][policy].push_back(std::move(run));
        }
    }
    constexpr int indent = 1;
    return report.dump(indent) + '\n';
}

std::string servedPlot(
    const Workload &workload, const std::vector<std::string> &policies, const SummariesByPolicy &summaries)
{
    std::vector<BarGroup> groups;
    const auto add = [&](const std::string &label, const Metric &metric) {
        BarGroup group{label, {}};
        for (const std::string &policy : policies) {
            const Spread it = spreadOverSeeds(summaries.at(policy), metric);
            group.bars.push_back({policy, it.median, it.min, it.max});
        }
        groups.push_back(std::move(group));
    };
    add("all", servedOf);
    for (std::size_t i = 0; i < workload.classes.size(); ++i) {
        add(workload.classes[i].name, classMetric(i, &ClassSummary::served));
    }
    return barChart("callers served, " + workload.name, groups, false);
}

std::string lengthPlot(
    const Workload &workload, const std::vector<std::string> &policies, const SummariesByPolicy &summaries)
{
    struct Values
    {
        std::vector<double> low;
        std::vector<double> median;
        std::vector<double> high;
    };
    std::map<double, BarGroup> groups;
    constexpr double median = 0.5;
    constexpr double tokensPerThousand = 1000;
    for (const std::string &policy : policies) {
        std::map<double, Values> values;
        for (const RunSummary &seed : summaries.at(policy)) {
            for (const LengthSummary &it : seed.lengths) {
                values[it.minTokens].low.push_back(it.firstEventP5Ms);
                values[it.minTokens].median.push_back(it.firstEventMedianMs);
                values[it.minTokens].high.push_back(it.firstEventP95Ms);
            }
        }
        for (const auto &[tokens, it] : values) {
            BarGroup &group = groups[tokens];
            group.label = std::to_string(static_cast<int>(tokens / tokensPerThousand)) + "k";
            group.bars.push_back(
                {policy, quantile(it.median, median), quantile(it.low, median), quantile(it.high, median)});
        }
    }
    std::vector<BarGroup> sortedGroups;
    sortedGroups.reserve(groups.size());
    for (auto &[tokens, group] : groups) {
        sortedGroups.push_back(std::move(group));
    }
    return barChart("first event in ms by prompt length, " + workload.name, sortedGroups, true);
}

} // namespace magnolia::bench
