// Summarises the outcomes of a run for tables and plots.
#pragma once

#include "experiment.h"
#include "workload.h"

#include <array>
#include <string>
#include <vector>

namespace magnolia::bench
{

struct ClassSummary
{
    std::string name;
    std::size_t requestCount = 0;
    std::size_t onTime = 0;
    std::size_t late = 0;
    /** Requests without a complete answer. */
    std::size_t lost = 0;
    std::size_t refusals = 0;
    /** Complete answers whose first event was late, and those with a gap over the target; an answer may be in both. */
    std::size_t lateFirstEvents = 0;
    std::size_t longGaps = 0;
    /** Counts of `longGaps` by GapCause. */
    std::array<std::size_t, 6> gapCauses{};
    /** Share on time of the largest tenth by prompt length. */
    double largestTenthOnTime = 0;
    double largestTenthServed = 0;
    /** See Experiment::busiestOverMean(); 0 if not measured. */
    double busiestOverMean = 0;
    /** Share of the requests that were answered in full within the time of their callers. */
    double served = 0;
    /** Median time until callers were refused for the last time; 0 if none was. */
    double finalRefusalMedianMs = 0;
    double firstEventMedianMs = 0;
    double firstEventP95Ms = 0;
    double gapP95Ms = 0;
    /**
     * Lowest share of answered requests among the quartiles by prompt length. Shows if a policy neglects the longest
     * prompts in favour of the others.
     */
    double worstQuartileServed = 0;
};

/** Times to the first event of prompts in one range of lengths. */
struct LengthSummary
{
    /** Lower bound of the bin in tokens; each bin starts at twice the bound of the previous one. */
    double minTokens = 0;
    std::size_t count = 0;
    double firstEventP5Ms = 0;
    double firstEventMedianMs = 0;
    double firstEventP95Ms = 0;
};

struct RunSummary
{
    /** Share of all requests that were answered in full within the time of their callers. */
    double served = 0;
    /** Share of all requests whose answers met the targets as well. */
    double onTime = 0;
    /** Served share of the requests in a window; mean of the two worst windows. */
    double worstWindows = 0;
    double busyShare = 0;
    /** See Experiment::idleBesideWaitingShare(). */
    double idleBesideWaiting = 0;
    /** Ratio of the p95 first-event time of the first class to the p95 in a run without other classes; 0 if not run. */
    double slowdownP95 = 0;
    std::vector<ClassSummary> classes;
    std::vector<LengthSummary> lengths;
};

/** Calculates the summary of a run; `busyShare` is copied into it. */
[[nodiscard]] RunSummary summarise(const Workload &workload, const std::vector<Outcome> &outcomes, double busyShare);

/** Returns the value nearest to the quantile `probability`; 0 for no values. */
[[nodiscard]] double quantile(std::vector<double> values, double probability);

} // namespace magnolia::bench
