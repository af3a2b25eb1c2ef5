// Tables, JSON and plots of runs under several policies.
#pragma once

#include "outcomes.h"

#include <map>
#include <string>
#include <vector>

namespace magnolia::bench
{

/** By policy: the figures of each seed. */
using FiguresOf = std::map<std::string, std::vector<Figures>>;

/** One row a policy, medians over the seeds. */
[[nodiscard]] std::string textTable(
    const Workload &workload, const std::vector<std::string> &policies, const FiguresOf &figures);
[[nodiscard]] std::string jsonReport(
    const Workload &workload, const std::vector<std::string> &policies, const FiguresOf &figures);
/** Worth by class, whiskers from the least to the most of the seeds; an SVG. */
[[nodiscard]] std::string worthPlot(
    const Workload &workload, const std::vector<std::string> &policies, const FiguresOf &figures);
/** First events by the length of prompts: medians, whiskers from p5 to p95, medians over the seeds; an SVG. */
[[nodiscard]] std::string lengthPlot(
    const Workload &workload, const std::vector<std::string> &policies, const FiguresOf &figures);

} // namespace magnolia::bench
