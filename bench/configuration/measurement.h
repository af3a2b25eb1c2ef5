// Runs a simulated fleet and measures the cost of the configuration distribution.
#pragma once

#include "configuration/tests/configurationfleet.h"

#include <cstdint>
#include <string>

namespace magnolia::bench
{

enum class Scenario {
    /** The configuration does not change. */
    Idle,
    /** 16,000 changes a day, in bursts of 20 within two seconds. */
    Bursts,
    /** The configuration service is down; instances keep retrying. */
    ServiceDown,
    /** All instances start at once. */
    StartAll,
};

struct Measurement
{
    std::size_t entries = 0;
    std::uint64_t changes = 0;
    double callsPerSecond = 0;
    std::uint64_t maxCallsInOneSecond = 0;
    double messagesPerEntrySecond = 0;
    double bytesPerEntrySecond = 0;
    double fetchesPerEntrySecond = 0;
    double cpuMicrosPerEntrySecond = 0;
    Milliseconds maxPropagationTime{0};
    std::size_t violations = 0;
};

[[nodiscard]] std::string toString(Scenario scenario);

/**
 * Runs `scenario` for `duration` of virtual time, after a settling time. `Scenario::StartAll` has no settling time and
 * a fixed duration.
 */
[[nodiscard]] Measurement measure(
    Scenario scenario, const testing::FleetShape &shape, Seconds duration, std::uint64_t seed);

} // namespace magnolia::bench
