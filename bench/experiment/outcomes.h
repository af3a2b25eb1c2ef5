// What callers got, summed up for tables and plots.
#pragma once

#include "experiment.h"
#include "workload.h"

#include <string>
#include <vector>

namespace magnolia::bench
{

struct ClassFigures
{
    std::string name;
    std::size_t asked = 0;
    std::size_t onTime = 0;
    std::size_t late = 0;
    std::size_t lost = 0;
    std::size_t refusals = 0;
    /** Part of the class's whole worth that was earned. */
    double worth = 0;
    double firstMsMedian = 0;
    double firstMsP95 = 0;
    double gapMsP95 = 0;
    /** Least share served among the quarters of the class by prompt size: the longest must not pay for the rest. */
    double worstQuarter = 0;
};

struct Figures
{
    double worth = 0;
    double busyShare = 0;
    std::vector<ClassFigures> classes;
};

[[nodiscard]] Figures sumUp(const Workload &workload, const std::vector<Outcome> &outcomes, double busyShare);

/** The value at `share` of the sorted values; 0 of none. */
[[nodiscard]] double quantile(std::vector<double> values, double share);

} // namespace magnolia::bench
