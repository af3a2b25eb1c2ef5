// Learns the speed of upstreams from request outcomes: exponentially weighted means, with the mean over all upstreams
// of a model or service as the prior.
#pragma once

#include "framework/global/types/tokens.h"
#include "observing/types/learnedrates.h"

namespace magnolia::observing
{

/** Prompts of at least this many tokens are long; the others are short. */
constexpr Tokens longPromptTokens{32'768};

[[nodiscard]] constexpr bool isLongPrompt(Tokens prompt)
{
    return prompt >= longPromptTokens;
}

/**
 * Whether the prompt is long and its class leaves it time to wait behind other requests. A long prompt with a tight
 * target overtakes delay-tolerant ones, so the long prefill rate is learned from delay-tolerant prompts only.
 */
[[nodiscard]] bool isDelayTolerantPrompt(const LearnedRates &rates, Tokens prompt, FractionalSeconds firstTokenTarget);

/** One observed time to first token. */
struct FirstTokenSample
{
    UpstreamId upstream;
    std::string target;
    Tokens prefill;
    /** Prefill estimated to be queued ahead of the request at dispatch. */
    Tokens prefillAhead;
    bool isLong = false;
    bool isDelayTolerant = false;
    FractionalSeconds observed{0};
    FractionalSeconds predicted{0};
    /** Time from arrival to the due time of the first token. */
    FractionalSeconds firstTokenTarget{0};
};

/** Rates for predictions: the upstream's own, blended with the target's by number and age of the upstream's samples. */
[[nodiscard]] UpstreamRates ratesOf(
    const LearnedRates &rates, const UpstreamId &upstream, const std::string &target, MonoTime now);

void learnFirstToken(LearnedRates &rates, const FirstTokenSample &sample, MonoTime now);

/** `interval` is the mean time between two tokens of one answer. */
void learnDecode(LearnedRates &rates, const UpstreamId &upstream, const std::string &target, FractionalSeconds interval,
    MonoTime now);

/** One observed response time of a plain service. */
struct ServiceSample
{
    UpstreamId upstream;
    std::string target;
    /** Requests estimated to be at the upstream at dispatch. */
    std::uint32_t requestsAhead = 0;
    FractionalSeconds observed{0};
    FractionalSeconds predicted{0};
};

void learnService(LearnedRates &rates, const ServiceSample &sample, MonoTime now);

/** Removes upstreams without an outcome in the last ten minutes, so that the map does not grow as the fleet changes. */
void removeStaleUpstreams(LearnedRates &rates, MonoTime now);

} // namespace magnolia::observing
