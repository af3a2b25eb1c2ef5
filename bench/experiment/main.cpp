// magnolia-experiment: policies side by side on modelled engines, and the model against logged runs.
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
/** Not a policy: knows all arrivals, and bounds the others. */
constexpr const char *hindsight = "hindsight";
/** Runs at once; each is one thread without waits. */
constexpr unsigned defaultThreads = 2;

Result<Workload> readWorkload(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return makeError(ResultCode::SettingsUnreadable, path + ": cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseWorkload(text.str());
}

struct Task
{
    std::string policy;
    std::uint64_t seed = 0;
    std::vector<Arrival> arrivals;
    Figures figures;
};

std::vector<bench::Outcome> play(const Workload &workload, const Task &task, double &busyShare)
{
    if (task.policy == hindsight) {
        return playInHindsight(workload, task.arrivals, task.seed);
    }
    const auto experiment = Experiment::make(workload, task.policy, task.arrivals, task.seed);
    auto outcomes = (*experiment)->run();
    busyShare = (*experiment)->busyShare();
    return outcomes;
}

void playTask(const Workload &workload, Task &task)
{
    double busyShare = 0;
    const auto outcomes = play(workload, task, busyShare);
    task.figures = sumUp(workload, outcomes, busyShare);
    if (task.policy == hindsight) {
        return;
    }
    Task alone = task;
    std::erase_if(alone.arrivals, [](const Arrival &it) {
        return it.promptClass != 0;
    });
    const Figures ofAlone = sumUp(workload, play(workload, alone, busyShare), busyShare);
    const double p95 = ofAlone.classes.front().firstMsP95;
    task.figures.slowdownP95 = p95 > 0 ? task.figures.classes.front().firstMsP95 / p95 : 0;
}

void runAll(const Workload &workload, std::vector<Task> &tasks, unsigned threadCount)
{
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < threadCount; ++i) {
        threads.emplace_back([&] {
            for (std::size_t n = next++; n < tasks.size(); n = next++) {
                playTask(workload, tasks[n]);
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
    std::vector<Arrival> recorded;
    if (args.count("log") > 0) {
        std::ifstream log(args["log"].as<std::string>());
        recorded = recordedArrivals(*workload, readRecorded(log));
        if (recorded.empty()) {
            std::cerr << "magnolia-experiment: no request of the workload's classes in the log\n";
            return exitFailure;
        }
    }
    auto policies = args["policies"].as<std::vector<std::string>>();
    const double seconds = args["seconds"].as<double>();
    std::vector<Task> tasks;
    for (const std::string &policy : policies) {
        const std::vector<Arrival> none;
        const auto known = Experiment::make(*workload, policy, none, 1);
        if (!known && policy != hindsight) {
            std::cerr << "magnolia-experiment: " << known.error().detail << '\n';
            return exitUsage;
        }
        for (std::uint64_t i = 0; i < args["seeds"].as<std::uint64_t>(); ++i) {
            const std::uint64_t seed = args["first-seed"].as<std::uint64_t>() + i;
            tasks.push_back({policy, seed, recorded.empty() ? makeArrivals(*workload, seconds, seed) : recorded, {}});
        }
    }
    runAll(*workload, tasks, args["threads"].as<unsigned>());
    FiguresOf figures;
    for (Task &it : tasks) {
        figures[it.policy].push_back(std::move(it.figures));
    }
    std::cout << textTable(*workload, policies, figures);
    if (args.count("out") > 0) {
        const std::string path = args["out"].as<std::string>() + '/' + workload->name;
        std::ofstream(path + ".json") << jsonReport(*workload, policies, figures);
        std::ofstream plot(path + ".svg");
        plot << worthPlot(*workload, policies, figures);
        std::ofstream(path + "-lengths.svg") << lengthPlot(*workload, policies, figures);
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
        std::cerr << "magnolia-experiment: " << (workload ? "the log cannot be read" : workload.error().detail) << '\n';
        return exitFailure;
    }
    const auto requests = readRecorded(log);
    std::cout << requests.size() << " requests\n"
              << std::left << std::setw(32) << "scene" << std::right << std::setw(8) << "count" << std::setw(10)
              << "first" << std::setw(10) << "modelled" << std::setw(8) << "off" << std::setw(10) << "whole"
              << std::setw(10) << "modelled" << std::setw(8) << "off" << '\n';
    for (const auto &[name, it] : replayRecorded(workload->engine, requests, args["delay-ms"].as<double>())) {
        std::cout << std::left << std::setw(32) << name << std::right << std::setw(8) << it.count << std::fixed
                  << std::setprecision(0) << std::setw(10) << it.measuredFirstMs << std::setw(10) << it.modelledFirstMs
                  << std::setprecision(3) << std::setw(8) << it.firstDifference << std::setprecision(0) << std::setw(10)
                  << it.measuredTotalMs << std::setw(10) << it.modelledTotalMs << std::setprecision(3) << std::setw(8)
                  << it.totalDifference << '\n';
    }
    return exitOk;
}

int cost()
{
    std::cout << std::setw(10) << "engines" << std::setw(12) << "placements" << std::setw(16) << "decision us"
              << std::setw(14) << "note us" << '\n';
    for (const DecisionCost &it : measureDecisionCosts()) {
        std::cout << std::setw(10) << it.engines << std::setw(12) << it.placements << std::fixed << std::setprecision(1)
                  << std::setw(16) << it.decisionUs << std::setw(14) << it.noteUs << '\n';
    }
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("magnolia-experiment",
        "Plays workloads on modelled engines under several policies, plays logged runs on the model again, or\n"
        "measures what decisions cost.\n\n"
        "examples: magnolia-experiment compare --workload bench/experiment/workloads/mixed.json --seeds 8 --out /tmp\n"
        "          magnolia-experiment compare --workload bench/experiment/workloads/mixed.json --log day.log\n"
        "          magnolia-experiment replay --workload bench/experiment/workloads/mixed.json --log day.log\n"
        "          magnolia-experiment cost\n");
    options.positional_help("compare|replay|cost");
    std::string all;
    for (const std::string &it : policyNames()) {
        all += (all.empty() ? "" : ",") + it;
    }
    all += std::string(",") + hindsight;
    options.add_options()("command", "what to do", cxxopts::value<std::string>()->default_value(""))(
        "workload", "JSON file with engines, classes and crests", cxxopts::value<std::string>())(
        "policies", "policies, by commas", cxxopts::value<std::vector<std::string>>()->default_value(all))(
        "seconds", "virtual seconds a run", cxxopts::value<double>()->default_value("120"))(
        "seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("4"))(
        "first-seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "threads", "runs at once", cxxopts::value<unsigned>()->default_value(std::to_string(defaultThreads)))(
        "out", "folder for JSON and SVG", cxxopts::value<std::string>())("log",
        "log of instances: what to replay, or whose arrivals to compare", cxxopts::value<std::string>())("delay-ms",
        "way to an engine and back, in ms", cxxopts::value<double>()->default_value("2"))("h,help", "print this help");
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
            std::cerr << "magnolia-experiment: --workload is needed\n";
            return exitUsage;
        }
        if (command == "compare") {
            return compare(args);
        }
        if (command == "replay" && args.count("log") > 0) {
            return replay(args);
        }
        if (command == "cost") {
            return cost();
        }
    } catch (const cxxopts::exceptions::exception &ex) {
        std::cerr << "magnolia-experiment: " << ex.what() << '\n';
        return exitUsage;
    }
    std::cerr << options.help();
    return exitUsage;
}
