// What an entry has learned about the speed of upstreams from the outcomes of its own requests.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "observing/types/linefit.h"

#include <string>
#include <unordered_map>

namespace magnolia::observing
{

using FractionalSeconds = std::chrono::duration<double>;

/** Speeds of one upstream, or of all upstreams that serve one model or service. */
struct UpstreamRates
{
    // Invariant: all rates are above zero, all times are not negative.
    double shortPrefillTokensPerSecond = 10'000;
    double longPrefillTokensPerSecond = 10'000;
    /** First token of a prompt whose prefill takes no time. */
    FractionalSeconds firstTokenOverhead{0.03};
    /** What the short prefill rate and the overhead are read from. */
    LineFit firstTokenFit{};
    FractionalSeconds decodeInterval{0.05};
    /** Whole answer of a plain service that has nothing else to do. */
    FractionalSeconds serviceTime{0.02};
    /** Added by each request that is there before. */
    FractionalSeconds serviceTimePerRequest{0.002};
    LineFit serviceFit{};
    /** Outcomes seen; bounds how far the learned values are trusted over the prior. */
    double sampleCount = 0;
    MonoTime lastSampleAt{};
};

struct LearnedRates
{
    /** By model or service; the prior of each upstream that serves it. */
    std::unordered_map<std::string, UpstreamRates> targets;
    std::unordered_map<UpstreamId, UpstreamRates> upstreams;
    /** Mean prompt of requests that do not count as long, in tokens. */
    double meanShortPromptTokens = 3'000;
    /** Mean time that the class leaves to the first token of requests that count as long. */
    FractionalSeconds meanLongFirstTokenTarget{30};
    /** How much later than predicted the first token comes, 99th percentile, of prompts that do not count as long. */
    FractionalSeconds firstTokenErrorP99{0.1};
    /** The same of plain services' answers. */
    FractionalSeconds serviceErrorP99{0.1};
};

} // namespace magnolia::observing
