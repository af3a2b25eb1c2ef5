// magnolia-soak: runs real gateway processes under seeded faults. Prints one line for each seed, and for a failed seed
// the violations and the command that repeats the run.
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

constexpr std::size_t maxPrintedViolations = 12;

bool runSeed(const cxxopts::ParseResult &args, std::uint64_t seed)
{
    SoakParameters parameters;
    parameters.binary = args["binary"].as<std::string>();
    parameters.previousBinary = args["previous-binary"].as<std::string>();
    parameters.workDirectory = std::filesystem::temp_directory_path()
        / ("magnolia-soak-" + std::to_string(::getpid()) + '-' + std::to_string(seed));
    std::filesystem::create_directories(parameters.workDirectory);
    parameters.plan.seed = seed;
    parameters.plan.plannedPhaseDuration
        = Milliseconds(static_cast<std::int64_t>(args["planned-s"].as<double>() * 1000));
    parameters.plan.faultPhaseDuration = Milliseconds(static_cast<std::int64_t>(args["trouble-s"].as<double>() * 1000));
    parameters.gatewayCount = args["gateways"].as<std::size_t>();
    parameters.callerCount = args["callers"].as<int>();
    parameters.hasTimedChecks = args.count("timed") > 0;
    parameters.isVerbose = args.count("verbose") > 0;
    Soak soak(parameters);
    const Ledger &ledger = soak.run();
    std::cout << "seed " << seed << ": " << soak.faultCount() << " faults, " << ledger.records().size() << " requests";
    if (!parameters.previousBinary.empty()) {
        std::cout << ", " << soak.binaryChangeCounts().first << " gateways to the new binary, "
                  << soak.binaryChangeCounts().second << " back";
    }
    for (const auto &[outcome, count] : ledger.outcomeCounts()) {
        std::cout << ", " << count << ' ' << outcome;
    }
    const auto &violations = ledger.violations();
    std::cout << (violations.empty() ? ": passed\n" : ": FAILED\n");
    for (std::size_t i = 0; i < violations.size() && i < maxPrintedViolations; ++i) {
        std::cout << "  " << violations[i].guarantee << ", request " << violations[i].requestId << ": "
                  << violations[i].detail << '\n';
    }
    if (violations.empty() && args.count("keep") == 0) {
        std::filesystem::remove_all(parameters.workDirectory);
    } else {
        std::cout << "  logs: " << parameters.workDirectory.string() << "\n  repeat with: magnolia-soak --seed " << seed
                  << " --gateways " << parameters.gatewayCount << " --callers " << parameters.callerCount
                  << " --planned-s " << args["planned-s"].as<double>() << " --trouble-s "
                  << args["trouble-s"].as<double>() << (parameters.hasTimedChecks ? " --timed" : "");
        if (!parameters.previousBinary.empty()) {
            std::cout << " --previous-binary " << parameters.previousBinary;
        }
        std::cout << '\n';
    }
    std::cout.flush();
    return violations.empty();
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("magnolia-soak",
        "Runs gateway processes under seeded faults and checks the guarantees to callers and upstreams.\n\n"
        "examples: magnolia-soak --seed 7 --seeds 50 --timed\n"
        "          magnolia-soak --seed 7 --verbose --keep\n");
    options.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))("binary",
        "path of the magnoliastream binary",
        cxxopts::value<std::string>()->default_value(MAGNOLIA_BINARY))("previous-binary",
        "path of a binary on which gateways start; they are replaced by --binary under load and then go back",
        cxxopts::value<std::string>()->default_value(""))(
        "gateways", "number of gateway processes under test", cxxopts::value<std::size_t>()->default_value("4"))(
        "callers", "number of concurrent callers", cxxopts::value<int>()->default_value("24"))("planned-s",
        "length in seconds of the phase with planned actions only",
        cxxopts::value<double>()->default_value("8"))("trouble-s", "length in seconds of the phase with faults",
        cxxopts::value<double>()->default_value("8"))("timed", "also check time limits")("verbose",
        "print each fault when it begins")("keep", "keep the logs of the processes")("h,help", "print this help");
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
            isPassed = runSeed(args, first + i) && isPassed;
        }
        return isPassed ? 0 : 1;
    } catch (const std::exception &ex) {
        std::cerr << "magnolia-soak: " << ex.what() << '\n';
        return 2;
    }
}
