// Figures of several policies side by side.
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
using Pick = std::function<double(const Figures &)>;

struct Spread
{
    double median = 0;
    double least = 0;
    double most = 0;
};

Spread spreadOf(const std::vector<Figures> &seeds, const Pick &pick)
{
    std::vector<double> values;
    values.reserve(seeds.size());
    for (const Figures &it : seeds) {
        values.push_back(pick(it));
    }
    constexpr double middle = 0.5;
    return {quantile(values, middle), quantile(values, 0), quantile(values, 1)};
}

Pick ofClass(std::size_t i, double ClassFigures::*field)
{
    return [i, field](const Figures &it) {
        return it.classes[i].*field;
    };
}

Pick shareOfClass(std::size_t i, std::size_t ClassFigures::*field)
{
    return [i, field](const Figures &it) {
        const ClassFigures &of = it.classes[i];
        return of.asked == 0 ? 0 : static_cast<double>(of.*field) / static_cast<double>(of.asked);
    };
}

double worthOf(const Figures &it)
{
    return it.worth;
}

double worstWindowsOf(const Figures &it)
{
    return it.worstWindows;
}

double slowdownOf(const Figures &it)
{
    return it.slowdownP95;
}

double busyOf(const Figures &it)
{
    return it.busyShare;
}

} // namespace

std::string textTable(const Workload &workload, const std::vector<std::string> &policies, const FiguresOf &figures)
{
    std::ostringstream out;
    constexpr int nameWidth = 23;
    constexpr int cellWidth = 8;
    const auto cell = [&out](double value, int digits) {
        out << std::setw(cellWidth) << std::fixed << std::setprecision(digits) << value;
    };
    out << workload.name << ": medians over the seeds; worth and shares of what was asked, times in ms\n";
    out << std::left << std::setw(nameWidth) << "policy" << std::right;
    for (const char *const name : {"worth", "least", "most", "worst 2", "slowed", "busy"}) {
        out << std::setw(cellWidth) << name;
    }
    out << '\n';
    for (const std::string &policy : policies) {
        const Spread worth = spreadOf(figures.at(policy), worthOf);
        out << std::left << std::setw(nameWidth) << policy << std::right;
        cell(worth.median, 3);
        cell(worth.least, 3);
        cell(worth.most, 3);
        cell(spreadOf(figures.at(policy), worstWindowsOf).median, 3);
        cell(spreadOf(figures.at(policy), slowdownOf).median, 2);
        cell(spreadOf(figures.at(policy), busyOf).median, 2);
        out << '\n';
    }
    for (std::size_t i = 0; i < workload.classes.size(); ++i) {
        out << '\n' << std::left << std::setw(nameWidth) << workload.classes[i].name << std::right;
        for (const char *const name : {"worth", "on time", "late", "lost", "first", "p95", "gap p95", "quarter"}) {
            out << std::setw(cellWidth) << name;
        }
        out << '\n';
        for (const std::string &policy : policies) {
            const auto &seeds = figures.at(policy);
            out << std::left << std::setw(nameWidth) << policy << std::right;
            cell(spreadOf(seeds, ofClass(i, &ClassFigures::worth)).median, 3);
            cell(spreadOf(seeds, shareOfClass(i, &ClassFigures::onTime)).median, 3);
            cell(spreadOf(seeds, shareOfClass(i, &ClassFigures::late)).median, 3);
            cell(spreadOf(seeds, shareOfClass(i, &ClassFigures::lost)).median, 3);
            cell(spreadOf(seeds, ofClass(i, &ClassFigures::firstMsMedian)).median, 0);
            cell(spreadOf(seeds, ofClass(i, &ClassFigures::firstMsP95)).median, 0);
            cell(spreadOf(seeds, ofClass(i, &ClassFigures::gapMsP95)).median, 0);
            cell(spreadOf(seeds, ofClass(i, &ClassFigures::worstQuarter)).median, 2);
            out << '\n';
        }
    }
    return out.str();
}

std::string jsonReport(const Workload &workload, const std::vector<std::string> &policies, const FiguresOf &figures)
{
    Json report;
    report["workload"] = workload.name;
    for (const std::string &policy : policies) {
        for (const Figures &it : figures.at(policy)) {
            Json run{{"worth", it.worth}, {"worst_windows", it.worstWindows}, {"slowdown_p95", it.slowdownP95},
                {"busy_share", it.busyShare}};
            for (const ClassFigures &of : it.classes) {
                run["classes"][of.name] = {{"asked", of.asked}, {"on_time", of.onTime}, {"late", of.late},
                    {"lost", of.lost}, {"refusals", of.refusals}, {"worth", of.worth},
                    {"first_ms_median", of.firstMsMedian}, {"first_ms_p95", of.firstMsP95}, {"gap_ms_p95", of.gapMsP95},
                    {"worst_quarter", of.worstQuarter}};
            }
            for (const LengthFigures &of : it.lengths) {
                run["lengths"].push_back(
                    {{"from_tokens", of.fromTokens}, {"count", of.count}, {"first_ms_p5", of.firstMsP5},
                        {"first_ms_median", of.firstMsMedian}, {"first_ms_p95", of.firstMsP95}});
            }
            report["policies"][policy].push_back(std::move(run));
        }
    }
    constexpr int indent = 1;
    return report.dump(indent) + '\n';
}

std::string worthPlot(const Workload &workload, const std::vector<std::string> &policies, const FiguresOf &figures)
{
    std::vector<BarGroup> groups;
    const auto add = [&](const std::string &label, const Pick &pick) {
        BarGroup group{label, {}};
        for (const std::string &policy : policies) {
            const Spread it = spreadOf(figures.at(policy), pick);
            group.bars.push_back({policy, it.median, it.least, it.most});
        }
        groups.push_back(std::move(group));
    };
    add("all", worthOf);
    for (std::size_t i = 0; i < workload.classes.size(); ++i) {
        add(workload.classes[i].name, ofClass(i, &ClassFigures::worth));
    }
    return barChart("worth earned, " + workload.name, groups, false);
}

std::string lengthPlot(const Workload &workload, const std::vector<std::string> &policies, const FiguresOf &figures)
{
    struct Values
    {
        std::vector<double> low;
        std::vector<double> median;
        std::vector<double> high;
    };
    std::map<double, BarGroup> groups;
    constexpr double middle = 0.5;
    constexpr double thousand = 1000;
    for (const std::string &policy : policies) {
        std::map<double, Values> values;
        for (const Figures &seed : figures.at(policy)) {
            for (const LengthFigures &it : seed.lengths) {
                values[it.fromTokens].low.push_back(it.firstMsP5);
                values[it.fromTokens].median.push_back(it.firstMsMedian);
                values[it.fromTokens].high.push_back(it.firstMsP95);
            }
        }
        for (const auto &[tokens, it] : values) {
            BarGroup &group = groups[tokens];
            group.label = std::to_string(static_cast<int>(tokens / thousand)) + "k";
            group.bars.push_back(
                {policy, quantile(it.median, middle), quantile(it.low, middle), quantile(it.high, middle)});
        }
    }
    std::vector<BarGroup> inOrder;
    inOrder.reserve(groups.size());
    for (auto &[tokens, group] : groups) {
        inOrder.push_back(std::move(group));
    }
    return barChart("first event in ms by prompt length, " + workload.name, inOrder, true);
}

} // namespace magnolia::bench
