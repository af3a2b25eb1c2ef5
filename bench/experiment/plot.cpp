// Draws bar charts with one bar for each policy, grouped by metric.
#include "plot.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace magnolia::bench
{

namespace
{

constexpr double width = 1100;
constexpr double height = 420;
constexpr double leftMargin = 60;
constexpr double bottomMargin = 60;
constexpr double topMargin = 70;
constexpr double minLogValue = 1e-3;
const char *const colours[] = {"#1b6ca8", "#7fb2d9", "#c8a13a", "#b5523b", "#6b8f5e"};

struct Scale
{
    double low = 0;
    double high = 1;
    bool isLog = false;

    [[nodiscard]] double y(double value) const
    {
        const double position = isLog ? std::log10(std::max(value, minLogValue)) : value;
        return height - bottomMargin - (position - low) / (high - low) * (height - bottomMargin - topMargin);
    }
};

Scale scaleFor(const std::vector<BarGroup> &groups, bool isLog)
{
    double maxValue = minLogValue;
    double minValue = 1e9;
    for (const BarGroup &group : groups) {
        for (const Bar &bar : group.bars) {
            maxValue = std::max(maxValue, bar.max);
            minValue = std::min(minValue, std::max(bar.min, minLogValue));
        }
    }
    if (isLog) {
        return {std::floor(std::log10(minValue)), std::ceil(std::log10(maxValue)), true};
    }
    return {0, maxValue * 1.05, false};
}

void drawBar(std::ostringstream &out, const Scale &scale, const Bar &bar, double x, double barWidth, const char *colour)
{
    const double y = scale.y(bar.value);
    const double middle = x + barWidth / 2;
    out << "<rect x='" << x << "' y='" << y << "' width='" << barWidth * 0.85 << "' height='"
        << height - bottomMargin - y << "' fill='" << colour << "'/><line x1='" << middle << "' x2='" << middle
        << "' y1='" << scale.y(bar.min) << "' y2='" << scale.y(bar.max) << "' stroke='black'/><text x='" << middle
        << "' y='" << y - 4 << "' font-size='9' text-anchor='middle'>" << std::setprecision(3) << bar.value
        << "</text>\n";
}

void drawLegend(std::ostringstream &out, const BarGroup &group)
{
    double x = leftMargin;
    for (std::size_t i = 0; i < group.bars.size(); ++i) {
        out << "<rect x='" << x << "' y='36' width='12' height='12' fill='" << colours[i % std::size(colours)]
            << "'/><text x='" << x + 16 << "' y='46' font-size='12'>" << group.bars[i].label << "</text>\n";
        x += 200;
    }
}

} // namespace

std::string barChart(const std::string &title, const std::vector<BarGroup> &groups, bool isLog)
{
    std::ostringstream out;
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height
        << "' font-family='sans-serif'><rect width='100%' height='100%' fill='white'/><text x='" << leftMargin
        << "' y='24' font-size='16'>" << title << "</text>\n";
    if (groups.empty()) {
        return out.str() + "</svg>\n";
    }
    const Scale scale = scaleFor(groups, isLog);
    const double groupWidth = (width - leftMargin - 20) / static_cast<double>(groups.size());
    for (std::size_t groupIndex = 0; groupIndex < groups.size(); ++groupIndex) {
        const double x = leftMargin + groupWidth * static_cast<double>(groupIndex);
        const double barWidth = groupWidth * 0.9 / static_cast<double>(groups[groupIndex].bars.size());
        for (std::size_t i = 0; i < groups[groupIndex].bars.size(); ++i) {
            drawBar(out, scale, groups[groupIndex].bars[i], x + barWidth * static_cast<double>(i), barWidth,
                colours[i % std::size(colours)]);
        }
        out << "<text x='" << x + groupWidth * 0.45 << "' y='" << height - bottomMargin + 18
            << "' font-size='12' text-anchor='middle'>" << groups[groupIndex].label << "</text>\n";
    }
    drawLegend(out, groups.front());
    out << "<line x1='" << leftMargin << "' x2='" << width - 20 << "' y1='" << height - bottomMargin << "' y2='"
        << height - bottomMargin << "' stroke='black'/></svg>\n";
    return out.str();
}

} // namespace magnolia::bench
