// Arrivals of an open-loop load: the start time, prompt length and organisation of each request.
#pragma once

#include "framework/global/random.h"
#include "framework/global/types/time.h"

#include <cstdint>
#include <vector>

namespace magnolia::load
{

struct ArrivalOptions
{
    /** Mean requests per second outside of peaks. */
    double ratePerSecond = 10;
    Seconds duration{10};
    /** Ratio of the request rate during a peak to the rate outside of peaks; 1 for a constant rate. */
    double peakFactor = 1;
    /** Time from the start of a peak to the start of the next; a peak lasts a quarter of it. */
    Seconds peakPeriod{20};
    /** Share of prompts above longPromptThresholdTokens. */
    double longPromptShare = 0.02;
    std::uint64_t organisations = 10;
    /** Exponent of the Zipf distribution over organisations. */
    double zipfExponent = 1;
    /** Length of all prompts; 0 to draw the lengths at random. */
    std::uint64_t fixedPromptTokens = 0;
};

constexpr std::uint64_t minPromptTokens = 1'000;
constexpr std::uint64_t longPromptThresholdTokens = 100'000;
constexpr std::uint64_t maxPromptTokens = 1'000'000;

struct Arrival
{
    /** Intended start, from the start of the run. */
    Microseconds at{0};
    std::uint64_t promptTokens = 0;
    /** Rank of the organisation in the Zipf distribution, from 0; lower ranks send more requests. */
    std::uint64_t organisation = 0;
};

/** Ratio of the request rate at `timeSeconds` to the rate outside of peaks. Peaks rise and fall within two seconds. */
[[nodiscard]] double demandFactor(const ArrivalOptions &options, double timeSeconds);

/** Draws arrivals from a Poisson process whose rate follows demandFactor(), in order of time. */
[[nodiscard]] std::vector<Arrival> makeArrivals(const ArrivalOptions &options, Random &random);

} // namespace magnolia::load
