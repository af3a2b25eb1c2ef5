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

/** First events of prompts of about one length. */
struct LengthFigures
{
    /** Lower border of the bin, in tokens; each is twice the one before. */
    double fromTokens = 0;
    std::size_t count = 0;
    double firstMsP5 = 0;
    double firstMsMedian = 0;
    double firstMsP95 = 0;
};

struct Figures
{
    double worth = 0;
    /** Mean share of the worth asked for that the two worst windows earned. */
    double worstWindows = 0;
    double busyShare = 0;
    /** First events at p95 of the first class beside the others, over those of the class alone; 0: not played. */
    double slowdownP95 = 0;
    std::vector<ClassFigures> classes;
    std::vector<LengthFigures> lengths;
};

[[nodiscard]] Figures sumUp(const Workload &workload, const std::vector<Outcome> &outcomes, double busyShare);

/** The value at `share` of the sorted values; 0 of none. */
[[nodiscard]] double quantile(std::vector<double> values, double share);

} // namespace magnolia::bench
