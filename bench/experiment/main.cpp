// magnolia-experiment: compares policies on modelled engines, and the engine model with logged runs.
#include "decisioncost.h"
#include "experiment.h"
#include "hindsight.h"
#include "outcomes.h"
#include "policies.h"
#include "recordedrun.h"
#include "report.h"

#include <cxxopts.hpp>

#include <atomic>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace
{

using namespace magnolia;
using namespace magnolia::bench;

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
/** Not a policy but a search that knows all arrivals in advance; a reference for the policies. */
constexpr const char *hindsightPolicy = "hindsight";
/** Number of concurrent runs; each keeps one thread busy. */
constexpr unsigned defaultThreads = 2;

Result<Workload> readWorkload(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return makeError(ResultCode::SettingsUnreadable, path + ": cannot read the workload file");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseWorkload(text.str());
}

struct RunTask
{
    std::string policy;
    std::uint64_t seed = 0;
    std::vector<Arrival> arrivals;
    RunSummary summary;
};

RunSummary runPolicy(const Workload &workload, const RunTask &task)
{
    if (task.policy == hindsightPolicy) {
        return summarise(workload, runInHindsight(workload, task.arrivals, task.seed), 0);
    }
    const auto experiment = Experiment::make(workload, task.policy, task.arrivals, task.seed);
    const auto outcomes = (*experiment)->run();
    RunSummary summary = summarise(workload, outcomes, (*experiment)->busyShare());
    summary.idleBesideWaiting = (*experiment)->idleBesideWaitingShare();
    for (std::size_t i = 0; i < summary.classes.size(); ++i) {
        summary.classes[i].busiestOverMean = (*experiment)->busiestOverMean(i);
    }
    return summary;
}

void runTask(const Workload &workload, RunTask &task)
{
    task.summary = runPolicy(workload, task);
    if (task.policy == hindsightPolicy) {
        return;
    }
    RunTask firstClassTask = task;
    std::erase_if(firstClassTask.arrivals, [](const Arrival &it) {
        return it.promptClass != 0;
    });
    const double firstClassP95 = runPolicy(workload, firstClassTask).classes.front().firstEventP95Ms;
    task.summary.slowdownP95 = firstClassP95 > 0 ? task.summary.classes.front().firstEventP95Ms / firstClassP95 : 0;
}

void runAll(const Workload &workload, std::vector<RunTask> &tasks, unsigned threadCount)
{
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < threadCount; ++i) {
        threads.emplace_back([&] {
            for (std::size_t n = next++; n < tasks.size(); n = next++) {
                runTask(workload, tasks[n]);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

int compare(const cxxopts::ParseResult &args)
{
    const auto workload = readWorkload(args["workload"].as<std::string>());
    if (!workload) {
        std::cerr << "magnolia-experiment: " << workload.error().detail << '\n';
        return exitFailure;
    }
    std::vector<Arrival> recordedArrivals;
    if (args.count("log") > 0) {
        std::ifstream log(args["log"].as<std::string>());
        recordedArrivals = makeRecordedArrivals(*workload, readRecordedRequests(log));
        if (recordedArrivals.empty()) {
            std::cerr << "magnolia-experiment: the log contains no request of a class of the workload\n";
            return exitFailure;
        }
    }
    auto policies = args["policies"].as<std::vector<std::string>>();
    const double seconds = args["seconds"].as<double>();
    std::vector<RunTask> tasks;
    for (const std::string &policy : policies) {
        const std::vector<Arrival> noArrivals;
        const auto probe = Experiment::make(*workload, policy, noArrivals, 1);
        if (!probe && policy != hindsightPolicy) {
            std::cerr << "magnolia-experiment: " << probe.error().detail << '\n';
            return exitUsage;
        }
        for (std::uint64_t i = 0; i < args["seeds"].as<std::uint64_t>(); ++i) {
            const std::uint64_t seed = args["first-seed"].as<std::uint64_t>() + i;
            tasks.push_back({policy, seed,
                recordedArrivals.empty() ? makeArrivals(*workload, seconds, seed) : recordedArrivals, {}});
        }
    }
    runAll(*workload, tasks, args["threads"].as<unsigned>());
    SummariesByPolicy summaries;
    for (RunTask &it : tasks) {
        summaries[it.policy].push_back(std::move(it.summary));
    }
    std::cout << textTable(*workload, policies, summaries);
    if (args.count("out") > 0) {
        const std::string path = args["out"].as<std::string>() + '/' + workload->name;
        std::ofstream(path + ".json") << jsonReport(*workload, policies, summaries);
        std::ofstream plot(path + ".svg");
        plot << servedPlot(*workload, policies, summaries);
        std::ofstream(path + "-lengths.svg") << lengthPlot(*workload, policies, summaries);
        if (!plot) {
            std::cerr << "magnolia-experiment: " << path << ".svg cannot be written\n";
            return exitFailure;
        }
    }
    return exitOk;
}

int replay(const cxxopts::ParseResult &args)
{
    const auto workload = readWorkload(args["workload"].as<std::string>());
    std::ifstream log(args["log"].as<std::string>());
    if (!workload || !log) {
        std::cerr << "magnolia-experiment: " << (workload ? "cannot read the log" : workload.error().detail) << '\n';
        return exitFailure;
    }
    const auto requests = readRecordedRequests(log);
    std::cout << requests.size() << " requests\n"
              << std::left << std::setw(32) << "scene" << std::right << std::setw(8) << "count" << std::setw(10)
              << "first" << std::setw(10) << "modelled" << std::setw(8) << "off" << std::setw(10) << "whole"
              << std::setw(10) << "modelled" << std::setw(8) << "off" << '\n';
    for (const auto &[name, it] : replayRequests(workload->engine, requests, args["delay-ms"].as<double>())) {
        std::cout << std::left << std::setw(32) << name << std::right << std::setw(8) << it.count << std::fixed
                  << std::setprecision(0) << std::setw(10) << it.measuredFirstEventMs << std::setw(10)
                  << it.modelledFirstEventMs << std::setprecision(3) << std::setw(8) << it.firstEventRelativeError
                  << std::setprecision(0) << std::setw(10) << it.measuredTotalMs << std::setw(10) << it.modelledTotalMs
                  << std::setprecision(3) << std::setw(8) << it.totalRelativeError << '\n';
    }
    return exitOk;
}

int printDecisionCosts()
{
    std::cout << std::setw(10) << "engines" << std::setw(12) << "placements" << std::setw(16) << "decision us"
              << std::setw(14) << "update us" << '\n';
    for (const DecisionCost &it : measureDecisionCosts()) {
        std::cout << std::setw(10) << it.engineCount << std::setw(12) << it.placementCount << std::fixed
                  << std::setprecision(1) << std::setw(16) << it.decisionUs << std::setw(14) << it.updateUs << '\n';
    }
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("magnolia-experiment",
        "Runs workloads on modelled engines under several policies, replays logged runs on the engine model, or\n"
        "measures the time of placement decisions.\n\n"
        "examples: magnolia-experiment compare --workload bench/experiment/workloads/mixed.json --seeds 8 --out /tmp\n"
        "          magnolia-experiment compare --workload bench/experiment/workloads/mixed.json --log day.log\n"
        "          magnolia-experiment replay --workload bench/experiment/workloads/mixed.json --log day.log\n"
        "          magnolia-experiment cost\n");
    options.positional_help("compare|replay|cost");
    std::string allPolicies;
    for (const std::string &it : policyNames()) {
        allPolicies += (allPolicies.empty() ? "" : ",") + it;
    }
    allPolicies += std::string(",") + hindsightPolicy;
    options.add_options()("command", "compare, replay or cost", cxxopts::value<std::string>()->default_value(""))(
        "workload", "JSON file with engines, classes and peaks", cxxopts::value<std::string>())("policies",
        "policies to compare, separated by commas",
        cxxopts::value<std::vector<std::string>>()->default_value(allPolicies))(
        "seconds", "duration of each run in virtual seconds", cxxopts::value<double>()->default_value("120"))(
        "seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("4"))(
        "first-seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))("threads",
        "number of concurrent runs", cxxopts::value<unsigned>()->default_value(std::to_string(defaultThreads)))(
        "out", "existing folder for the JSON and SVG files", cxxopts::value<std::string>())("log",
        "log of the instances to replay, or to take the arrivals from",
        cxxopts::value<std::string>())("delay-ms", "network round trip to an engine in ms",
        cxxopts::value<double>()->default_value("2"))("h,help", "print this help");
    options.parse_positional({"command"});
    try {
        const auto args = options.parse(argc, argv);
        const std::string command = args["command"].as<std::string>();
        if (args.count("help") > 0) {
            std::cout << options.help();
            return exitOk;
        }
        const bool needsWorkload = command == "compare" || command == "replay";
        if (needsWorkload && args.count("workload") == 0) {
            std::cerr << "magnolia-experiment: --workload is required\n";
            return exitUsage;
        }
        if (command == "compare") {
            return compare(args);
        }
        if (command == "replay" && args.count("log") > 0) {
            return replay(args);
        }
        if (command == "cost") {
            return printDecisionCosts();
        }
    } catch (const cxxopts::exceptions::exception &ex) {
        std::cerr << "magnolia-experiment: " << ex.what() << '\n';
        return exitUsage;
    }
    std::cerr << options.help();
    return exitUsage;
}
