// One bar for each variant, grouped by measure.
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
constexpr double left = 60;
constexpr double bottom = 60;
constexpr double top = 70;
constexpr double smallest = 1e-3;
const char *const colours[] = {"#1b6ca8", "#7fb2d9", "#c8a13a", "#b5523b", "#6b8f5e"};

struct Scale
{
    double low = 0;
    double high = 1;
    bool isLog = false;

    [[nodiscard]] double y(double value) const
    {
        const double at = isLog ? std::log10(std::max(value, smallest)) : value;
        return height - bottom - (at - low) / (high - low) * (height - bottom - top);
    }
};

Scale scaleFor(const std::vector<BarGroup> &groups, bool isLog)
{
    double most = smallest;
    double least = 1e9;
    for (const BarGroup &group : groups) {
        for (const Bar &bar : group.bars) {
            most = std::max(most, bar.most);
            least = std::min(least, std::max(bar.least, smallest));
        }
    }
    if (isLog) {
        return {std::floor(std::log10(least)), std::ceil(std::log10(most)), true};
    }
    return {0, most * 1.05, false};
}

void drawBar(std::ostringstream &out, const Scale &scale, const Bar &bar, double x, double barWidth, const char *colour)
{
    const double y = scale.y(bar.value);
    const double middle = x + barWidth / 2;
    out << "<rect x='" << x << "' y='" << y << "' width='" << barWidth * 0.85 << "' height='" << height - bottom - y
        << "' fill='" << colour << "'/><line x1='" << middle << "' x2='" << middle << "' y1='" << scale.y(bar.least)
        << "' y2='" << scale.y(bar.most) << "' stroke='black'/><text x='" << middle << "' y='" << y - 4
        << "' font-size='9' text-anchor='middle'>" << std::setprecision(3) << bar.value << "</text>\n";
}

void drawLegend(std::ostringstream &out, const BarGroup &group)
{
    double x = left;
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
        << "' font-family='sans-serif'><rect width='100%' height='100%' fill='white'/><text x='" << left
        << "' y='24' font-size='16'>" << title << "</text>\n";
    if (groups.empty()) {
        return out.str() + "</svg>\n";
    }
    const Scale scale = scaleFor(groups, isLog);
    const double groupWidth = (width - left - 20) / static_cast<double>(groups.size());
    for (std::size_t g = 0; g < groups.size(); ++g) {
        const double x = left + groupWidth * static_cast<double>(g);
        const double barWidth = groupWidth * 0.9 / static_cast<double>(groups[g].bars.size());
        for (std::size_t i = 0; i < groups[g].bars.size(); ++i) {
            drawBar(out, scale, groups[g].bars[i], x + barWidth * static_cast<double>(i), barWidth,
                colours[i % std::size(colours)]);
        }
        out << "<text x='" << x + groupWidth * 0.45 << "' y='" << height - bottom + 18
            << "' font-size='12' text-anchor='middle'>" << groups[g].label << "</text>\n";
    }
    drawLegend(out, groups.front());
    out << "<line x1='" << left << "' x2='" << width - 20 << "' y1='" << height - bottom << "' y2='" << height - bottom
        << "' stroke='black'/></svg>\n";
    return out.str();
}

} // namespace magnolia::bench
