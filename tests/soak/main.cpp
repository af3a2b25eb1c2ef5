// magnolia-soak: real gateway processes under seeded series of faults. One line a seed; a broken promise is told with
// the command that plays the seed again.
#include "soak.h"

#include <cxxopts.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace
{

using namespace magnolia;
using namespace magnolia::soak;

constexpr std::size_t mostTold = 12;

bool playSeed(const cxxopts::ParseResult &args, std::uint64_t seed)
{
    SoakParameters parameters;
    parameters.binary = args["binary"].as<std::string>();
    parameters.folder = std::filesystem::temp_directory_path()
        / ("magnolia-soak-" + std::to_string(::getpid()) + '-' + std::to_string(seed));
    std::filesystem::create_directories(parameters.folder);
    parameters.plan.seed = seed;
    parameters.plan.plannedTime = Milliseconds(static_cast<std::int64_t>(args["planned-s"].as<double>() * 1000));
    parameters.plan.troubleTime = Milliseconds(static_cast<std::int64_t>(args["trouble-s"].as<double>() * 1000));
    parameters.gateways = args["gateways"].as<std::size_t>();
    parameters.callers = args["callers"].as<int>();
    parameters.hasTimedChecks = args.count("timed") > 0;
    parameters.isVerbose = args.count("verbose") > 0;
    Soak soak(parameters);
    const Ledger &ledger = soak.run();
    std::cout << "seed " << seed << ": " << soak.faults() << " faults, " << ledger.records().size() << " requests";
    for (const auto &[outcome, count] : ledger.summary()) {
        std::cout << ", " << count << ' ' << outcome;
    }
    const auto &violations = ledger.violations();
    std::cout << (violations.empty() ? ": passed\n" : ": BROKEN\n");
    for (std::size_t i = 0; i < violations.size() && i < mostTold; ++i) {
        std::cout << "  " << violations[i].promise << ", request " << violations[i].request << ": "
                  << violations[i].detail << '\n';
    }
    if (violations.empty() && args.count("keep") == 0) {
        std::filesystem::remove_all(parameters.folder);
    } else {
        std::cout << "  logs: " << parameters.folder.string() << "\n  again: magnolia-soak --seed " << seed
                  << " --gateways " << parameters.gateways << " --callers " << parameters.callers << " --planned-s "
                  << args["planned-s"].as<double>() << " --trouble-s " << args["trouble-s"].as<double>()
                  << (parameters.hasTimedChecks ? " --timed" : "") << '\n';
    }
    std::cout.flush();
    return violations.empty();
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("magnolia-soak",
        "Runs gateway processes under seeded series of faults and judges what callers and upstreams saw.\n\n"
        "examples: magnolia-soak --seed 7 --seeds 50 --timed\n"
        "          magnolia-soak --seed 7 --verbose --keep\n");
    options.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "binary", "magnoliastream", cxxopts::value<std::string>()->default_value(MAGNOLIA_BINARY))(
        "gateways", "processes under test", cxxopts::value<std::size_t>()->default_value("4"))("callers",
        "callers at once", cxxopts::value<int>()->default_value("24"))("planned-s", "seconds with planned work only",
        cxxopts::value<double>()->default_value("8"))("trouble-s", "seconds with all kinds of faults",
        cxxopts::value<double>()->default_value("8"))("timed", "also judge what has a bound in time")(
        "verbose", "tell each fault")("keep", "keep the processes' logs")("h,help", "print this help");
    try {
        const auto args = options.parse(argc, argv);
        if (args.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        std::signal(SIGPIPE, SIG_IGN);
        bool isPassed = true;
        const std::uint64_t first = args["seed"].as<std::uint64_t>();
        for (std::uint64_t i = 0; i < args["seeds"].as<std::uint64_t>(); ++i) {
            isPassed = playSeed(args, first + i) && isPassed;
        }
        return isPassed ? 0 : 1;
    } catch (const std::exception &ex) {
        std::cerr << "magnolia-soak: " << ex.what() << '\n';
        return 2;
    }
}
