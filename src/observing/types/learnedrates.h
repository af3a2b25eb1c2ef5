// Speeds of upstreams that an entry has learned from the outcomes of its own requests.
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
    // Invariant: all rates are positive, no time is negative.
    double shortPrefillTokensPerSecond = 10'000;
    double longPrefillTokensPerSecond = 10'000;
    /** Part of the time to first token that does not depend on the number of prompt tokens. */
    FractionalSeconds firstTokenOverhead{0.03};
    /** Regression that yields shortPrefillTokensPerSecond and firstTokenOverhead. */
    LineFit firstTokenFit{};
    FractionalSeconds decodeInterval{0.05};
    /** Response time of a plain service without other requests. */
    FractionalSeconds serviceTime{0.02};
    /** Added to the response time by each request that is already at the service. */
    FractionalSeconds serviceTimePerRequest{0.002};
    LineFit serviceFit{};
    /** Number of outcomes seen, capped; the higher it is, the more these values outweigh the prior. */
    double sampleCount = 0;
    MonoTime lastSampleAt{};
};

struct LearnedRates
{
    /** By model or service; the prior for each upstream that serves it. */
    std::unordered_map<std::string, UpstreamRates> targets;
    std::unordered_map<UpstreamId, UpstreamRates> upstreams;
    /** Mean length of short prompts, in tokens. */
    double meanShortPromptTokens = 3'000;
    /** Mean time from arrival to the due time of the first token, over long prompts. */
    FractionalSeconds meanLongFirstTokenTarget{30};
    /** 99th percentile of observed minus predicted time to first token, for short prompts. */
    FractionalSeconds firstTokenErrorP99{0.1};
    /** The same for the response time of plain services. */
    FractionalSeconds serviceErrorP99{0.1};
};

} // namespace magnolia::observing
