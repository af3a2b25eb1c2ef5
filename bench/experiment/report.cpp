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
    for (const char *const name : {"worth", "least", "most", "busy"}) {
        out << std::setw(cellWidth) << name;
    }
    out << '\n';
    for (const std::string &policy : policies) {
        const Spread worth = spreadOf(figures.at(policy), worthOf);
        out << std::left << std::setw(nameWidth) << policy << std::right;
        cell(worth.median, 3);
        cell(worth.least, 3);
        cell(worth.most, 3);
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
            Json run{{"worth", it.worth}, {"busy_share", it.busyShare}};
            for (const ClassFigures &of : it.classes) {
                run["classes"][of.name] = {{"asked", of.asked}, {"on_time", of.onTime}, {"late", of.late},
                    {"lost", of.lost}, {"refusals", of.refusals}, {"worth", of.worth},
                    {"first_ms_median", of.firstMsMedian}, {"first_ms_p95", of.firstMsP95}, {"gap_ms_p95", of.gapMsP95},
                    {"worst_quarter", of.worstQuarter}};
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

} // namespace magnolia::bench
