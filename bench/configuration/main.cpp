// Prints the cost of the configuration distribution with 9, 30, 100 and 330 entry instances.
#include "measurement.h"

#include <cxxopts.hpp>

#include <array>
#include <cstdio>
#include <exception>
#include <limits>

using namespace magnolia;
using namespace magnolia::bench;

namespace
{

struct FleetSize
{
    std::size_t dataCentres;
    std::size_t entriesPerDataCentre;
};

constexpr std::array fleetSizes{FleetSize{3, 3}, FleetSize{3, 10}, FleetSize{5, 20}, FleetSize{10, 33}};
constexpr std::array scenarios{Scenario::Idle, Scenario::Bursts, Scenario::ServiceDown, Scenario::StartAll};

void printHeader()
{
    std::puts("| entries | watchers | scenario | changes | calls/s | max calls in 1 s | messages/s per entry "
              "| bytes/s sent per entry | fetches/s per entry | CPU us/s per entry | max propagation time, ms | "
              "violations |");
    std::puts("| ---: | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
}

void printRow(const Measurement &it, Scenario scenario, const char *watchers)
{
    std::printf("| %zu | %s | %s | %llu | %.1f | %llu | %.2f | %.0f | %.3f | %.0f | %lld | %zu |\n", it.entries,
        watchers, toString(scenario).c_str(), static_cast<unsigned long long>(it.changes), it.callsPerSecond,
        static_cast<unsigned long long>(it.maxCallsInOneSecond), it.messagesPerEntrySecond, it.bytesPerEntrySecond,
        it.fetchesPerEntrySecond, it.cpuMicrosPerEntrySecond, static_cast<long long>(it.maxPropagationTime.count()),
        it.violations);
    std::fflush(stdout);
}

void run(Seconds duration, std::uint64_t seed)
{
    printHeader();
    for (const FleetSize &size : fleetSizes) {
        for (const Scenario scenario : scenarios) {
            testing::FleetShape shape;
            shape.dataCentres = size.dataCentres;
            shape.entriesPerDataCentre = size.entriesPerDataCentre;
            printRow(measure(scenario, shape, duration, seed), scenario, "2 per data centre");
        }
        testing::FleetShape shape;
        shape.dataCentres = size.dataCentres;
        shape.entriesPerDataCentre = size.entriesPerDataCentre;
        shape.parameters.watchersPerDataCentre = std::numeric_limits<std::size_t>::max();
        printRow(measure(Scenario::Bursts, shape, duration, seed), Scenario::Bursts, "all entries");
    }
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options("magnolia-configuration-bench",
            "Cost of distributing the configuration at several fleet sizes, in virtual time");
        options.add_options()("seconds", "Duration of each run in seconds of virtual time",
            cxxopts::value<int>()->default_value("220"))("seed", "Random seed of the runs",
            cxxopts::value<std::uint64_t>()->default_value("1"))("help", "Print this help");
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::puts(options.help().c_str());
            return 0;
        }
        run(Seconds(arguments["seconds"].as<int>()), arguments["seed"].as<std::uint64_t>());
    } catch (const std::exception &ex) {
        std::fprintf(stderr, "%s\n", ex.what());
        return 1;
    }
    return 0;
}
