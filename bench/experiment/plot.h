// Bar charts as SVG.
#pragma once

#include <string>
#include <vector>

namespace magnolia::bench
{

struct Bar
{
    std::string label;
    double value = 0;
    double min = 0;
    double max = 0;
};

struct BarGroup
{
    std::string label;
    std::vector<Bar> bars;
};

/** Returns an SVG of grouped bars with whiskers from `min` to `max`; the value axis is logarithmic if `isLog`. */
[[nodiscard]] std::string barChart(const std::string &title, const std::vector<BarGroup> &groups, bool isLog);

} // namespace magnolia::bench
