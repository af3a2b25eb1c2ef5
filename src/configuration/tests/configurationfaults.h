// Seeded schedules of faults and publications for the fleet.
#pragma once

#include "configuration/tests/configurationfleet.h"

#include <cstdint>

namespace magnolia::testing
{

/** Runs a fleet through the schedule given by `seed`, until all faults are repaired. Returns the violations found. */
std::vector<std::string> runFaultSchedule(std::uint64_t seed, const FleetShape &shape);

} // namespace magnolia::testing
