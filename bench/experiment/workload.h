// What callers ask for: classes of prompts with their targets, and crests that raise and lower their rates.
#pragma once

#include "catalogue/types/enginemodel.h"
#include "framework/global/error.h"
#include "framework/global/types/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnolia::bench
{

/** Lognormal, of the given mean; `spread` is the deviation of the logarithm. */
struct Size
{
    double mean = 1;
    double spread = 0;
    double most = 1e9;
};

struct PromptClass
{
    std::string name;
    double perSecond = 1;
    Size prompt;
    Size output;
    /** Deviation of the logarithm of the callers' estimate of the output. */
    double estimateSpread = 0;
    Milliseconds target{1000};
    Milliseconds gapTarget{1000};
    Milliseconds deadline{10'000};
    double worth = 1;
    double lateWorth = 0.25;
    /** Times that a caller comes back after a refusal or a failure. */
    int retries = 1;
};

/** For a while the rates of the classes named are multiplied. */
struct Crest
{
    double fromSecond = 0;
    double forSeconds = 1;
    std::map<std::string, double> factors;
};

struct Workload
{
    std::string name;
    std::size_t engines = 1;
    std::size_t instances = 1;
    /** Time after which an instance knows what another has placed. */
    Milliseconds noteDelay{2};
    catalogue::EngineModel engine;
    std::vector<PromptClass> classes;
    /** The crests are played again after this many seconds; 0: once. */
    double periodSeconds = 0;
    std::vector<Crest> crests;
};

struct Arrival
{
    std::uint64_t id = 0;
    std::size_t promptClass = 0;
    MonoTime at{};
    double promptTokens = 0;
    double outputTokens = 0;
    double estimatedTokens = 0;
};

/** Error: SettingsUnreadable (5001) or SettingsInvalid (5002), with the field at fault. */
[[nodiscard]] Result<Workload> parseWorkload(const std::string &json);

/** In order of time; the same for the same seed. */
[[nodiscard]] std::vector<Arrival> makeArrivals(const Workload &workload, double seconds, std::uint64_t seed);

} // namespace magnolia::bench
