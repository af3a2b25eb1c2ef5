// Tables, JSON and plots that compare runs under several policies.
#pragma once

#include "outcomes.h"

#include <map>
#include <string>
#include <vector>

namespace magnolia::bench
{

/** Policy name -> the summary of each seed. */
using SummariesByPolicy = std::map<std::string, std::vector<RunSummary>>;

/** Formats a table with one row per policy and medians over the seeds. */
[[nodiscard]] std::string textTable(
    const Workload &workload, const std::vector<std::string> &policies, const SummariesByPolicy &summaries);
[[nodiscard]] std::string jsonReport(
    const Workload &workload, const std::vector<std::string> &policies, const SummariesByPolicy &summaries);
/** Returns an SVG of the served share by class, with whiskers from the minimum to the maximum over the seeds. */
[[nodiscard]] std::string servedPlot(
    const Workload &workload, const std::vector<std::string> &policies, const SummariesByPolicy &summaries);
/**
 * Returns an SVG of the times to the first event by prompt length: bars show the median and whiskers p5 to p95, each as
 * the median over the seeds.
 */
[[nodiscard]] std::string lengthPlot(
    const Workload &workload, const std::vector<std::string> &policies, const SummariesByPolicy &summaries);

} // namespace magnolia::bench
