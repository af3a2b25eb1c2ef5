// Workloads: classes of prompts with their targets, and peaks that raise or lower the rates of the classes.
#pragma once

#include "catalogue/types/enginemodel.h"
#include "framework/global/error.h"
#include "framework/global/types/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::bench
{

/** Lognormal distribution of a length in tokens; `sigma` is the standard deviation of the logarithm. */
struct LengthDistribution
{
    double mean = 1;
    double sigma = 0;
    double max = 1e9;
};

struct PromptClass
{
    std::string name;
    double ratePerSecond = 1;
    LengthDistribution promptLength;
    LengthDistribution outputLength;
    /** Standard deviation of the logarithm of the callers' estimate of the output length. */
    double estimateSigma = 0;
    /** Maximum time to the first event of an answer that is on time. */
    Milliseconds firstEventTarget{1000};
    /** Maximum time between events of an answer that is on time. */
    Milliseconds gapTarget{1000};
    /** Time from the arrival after which the caller abandons the request. */
    Milliseconds deadline{10'000};
    /** Maximum number of retries after refusals. */
    int maxRetries = 1;
};

/** A time in which the rates of some classes are multiplied by a factor, by class name. */
struct Peak
{
    double startSecond = 0;
    double durationSeconds = 1;
    std::map<std::string, double> rateFactors;
};

/** A time in which an engine takes only some requests per second of all instances together, and names this limit. */
struct EngineLimit
{
    std::size_t engine = 0;
    double startSecond = 0;
    double durationSeconds = 1;
    double requestsPerSecond = 1;
};

/** A time at which the instances of an even share lose their tables, as by a restart. */
struct Restart
{
    double atSecond = 0;
    double share = 1;
};

struct Workload
{
    std::string name;
    std::size_t engineCount = 1;
    std::size_t instanceCount = 1;
    /** Time until the other instances learn of a placement. */
    Milliseconds peerMessageDelay{2};
    /** Longest such time; each message takes a uniform time from `peerMessageDelay` to this. 0: always the shortest. */
    Milliseconds maxPeerMessageDelay{0};
    /** Share of the messages between instances that are lost. */
    double peerMessageLoss = 0;
    /** Time between two messages with which an instance repeats all its placements to a peer; 0 for none. */
    Milliseconds fullStateInterval{0};
    std::vector<Restart> restarts;
    /** Speeds of the engines as shares of the model's; repeated over the engines, 1 if empty. */
    std::vector<double> engineSpeeds;
    catalogue::EngineModel engine;
    std::vector<PromptClass> classes;
    /** The peaks repeat with this period; 0 for no repetition. */
    double peakPeriodSeconds = 0;
    std::vector<Peak> peaks;
    std::vector<EngineLimit> limits;
};

/** Returns the limit that `engine` names `second` seconds after the start. */
[[nodiscard]] std::optional<double> limitAt(const Workload &workload, std::size_t engine, double second);

/** Returns the factor by which passes of `engine` take longer than in the model. */
[[nodiscard]] double engineSlowdown(const Workload &workload, std::size_t engine);

struct Arrival
{
    std::uint64_t id = 0;
    std::size_t promptClass = 0;
    MonoTime at{};
    double promptTokens = 0;
    double outputTokens = 0;
    /** The caller's estimate of `outputTokens`. */
    double estimatedOutputTokens = 0;
};

/**
 * Parses a workload; comments are allowed. Error: SettingsUnreadable (5001) if the text is no JSON object,
 * SettingsInvalid (5002) with the path of the first invalid field.
 */
[[nodiscard]] Result<Workload> parseWorkload(const std::string &json);

/** Draws the arrivals of `seconds` in order of time; the same seed gives the same arrivals. */
[[nodiscard]] std::vector<Arrival> makeArrivals(const Workload &workload, double seconds, std::uint64_t seed);

} // namespace magnolia::bench
