// Plots of measures side by side, as SVG.
#pragma once

#include <string>
#include <vector>

namespace magnolia::bench
{

struct Bar
{
    std::string label;
    double value = 0;
    double least = 0;
    double most = 0;
};

struct BarGroup
{
    std::string label;
    std::vector<Bar> bars;
};

/** Groups of bars with whiskers from least to most; a logarithmic axis where `isLog`. */
[[nodiscard]] std::string barChart(const std::string &title, const std::vector<BarGroup> &groups, bool isLog);

} // namespace magnolia::bench
