// Learning of upstream speeds from outcomes: exponentially weighted means with a prior of the whole fleet.
#pragma once

#include "framework/global/types/tokens.h"
#include "observing/types/learnedrates.h"

namespace magnolia::observing
{

/** Prompts from here on count as long. */
constexpr Tokens longPromptTokens{32'768};

[[nodiscard]] constexpr bool isLongPrompt(Tokens prompt)
{
    return prompt >= longPromptTokens;
}

/**
 * Whether a long prompt's class leaves it time to wait behind others; one with a tight target overtakes those. Only
 * patient prompts count for the long rate, for they are what others overtake.
 */
[[nodiscard]] bool isDelayTolerantPrompt(const LearnedRates &rates, Tokens prompt, FractionalSeconds firstTokenTarget);

/** One first token, as observed. */
struct FirstTokenSample
{
    UpstreamId upstream;
    std::string target;
    Tokens prefill;
    /** Prefill that was believed to be ahead of it at dispatch. */
    Tokens prefillAhead;
    bool isLong = false;
    bool isDelayTolerant = false;
    FractionalSeconds observed{0};
    FractionalSeconds predicted{0};
    /** What the class leaves to the first token. */
    FractionalSeconds firstTokenTarget{0};
};

/** Speeds to predict with: the upstream's own, mixed with the target's by number and age of its samples. */
[[nodiscard]] UpstreamRates ratesOf(
    const LearnedRates &rates, const UpstreamId &upstream, const std::string &target, MonoTime now);

void learnFirstToken(LearnedRates &rates, const FirstTokenSample &sample, MonoTime now);

/** `interval` is the mean time between tokens of one answer. */
void learnDecode(LearnedRates &rates, const UpstreamId &upstream, const std::string &target, FractionalSeconds interval,
    MonoTime now);

/** One answer of a plain service, as observed. */
struct ServiceSample
{
    UpstreamId upstream;
    std::string target;
    /** Requests that were believed to be there before it. */
    std::uint32_t requestsAhead = 0;
    FractionalSeconds observed{0};
    FractionalSeconds predicted{0};
};

void learnService(LearnedRates &rates, const ServiceSample &sample, MonoTime now);

/** Drops upstreams without an outcome for ten minutes, so that a changing fleet leaves nothing behind. */
void removeStaleUpstreams(LearnedRates &rates, MonoTime now);

} // namespace magnolia::observing
