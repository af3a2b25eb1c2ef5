// Modes of putting load on targets: an open loop, a constant number of concurrent streams, or paired requests.
#pragma once

#include "arrivals.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::load
{

struct Target
{
    std::string name;
    /** Addresses as `ip:port`; requests go to them in turn. */
    std::vector<std::string> addresses;
};

struct RunOptions
{
    std::vector<Target> targets;
    ArrivalOptions arrivals;
    std::uint64_t seed = 1;
    std::uint64_t maxTokens = 32;
    std::string model = "m-large";
    std::string shortClass = "counter";
    std::string longClass = "archive";
    std::string organisationPrefix = "organisation-";
    /** Number of concurrent streams per target, or of paired rounds, depending on the mode. */
    std::uint64_t count = 100;
};

/** Sends each request at its intended time, even if earlier ones have not ended. Requests go to the targets in turn. */
[[nodiscard]] nlohmann::json runOpenLoop(const RunOptions &options);

/** Keeps `count` streams running at each target for the duration; a stream that ends is replaced by a new one. */
[[nodiscard]] nlohmann::json runStreams(const RunOptions &options);

/**
 * Runs `count` rounds. In each round it sends one request to every target, one after another, and compares its time to
 * first token with that of the first target.
 */
[[nodiscard]] nlohmann::json runPaired(const RunOptions &options);

} // namespace magnolia::load
