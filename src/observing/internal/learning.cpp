// Exponentially weighted means of speeds, and a stochastic estimate of the prediction error's percentile.
#include "observing/learning.h"

#include <algorithm>
#include <cmath>

namespace magnolia::observing
{

namespace
{

constexpr double upstreamWeight = 0.1;
constexpr double targetWeight = 0.03;
// With this many samples an upstream's own values count as much as the prior.
constexpr double samplesForHalfTrust = 8;
constexpr double mostSamples = 64;
constexpr FractionalSeconds trustTimeConstant{60};
constexpr Seconds silenceBeforeForgetting{600};
constexpr double slowestPrefill = 100;
constexpr double fastestPrefill = 10'000'000;
// Two invented samples on the prior's line keep the regression sound until there are enough real ones.
constexpr double priorTokens[] = {500, 8'000};
constexpr double leastVariance = 1e4;
constexpr double leastRequestVariance = 0.5;
// Noise alone must not make prefill look free.
constexpr double flattestShare = 0.2;
// A target below this share of the long prompts' mean is tight.
constexpr double patientShare = 0.5;
constexpr double errorPercentile = 0.99;
constexpr FractionalSeconds errorStep{0.01};
constexpr FractionalSeconds smallestError{0};
constexpr FractionalSeconds largestError{5};
constexpr double priorRequests[] = {0, 10};

void approach(double &value, double sample, double weight)
{
    value += (sample - value) * weight;
}

void approach(FractionalSeconds &value, FractionalSeconds sample, double weight)
{
    value += (sample - value) * weight;
}

/** Weight of the next sample: the first ones count more, so that a new upstream is known soon. */
double weightOf(const UpstreamRates &rates, double lasting)
{
    return std::max(lasting, 1 / (rates.sampleCount + 2));
}

void countSample(UpstreamRates &rates, MonoTime now)
{
    rates.sampleCount = std::min(mostSamples, rates.sampleCount + 1);
    rates.lastSampleAt = now;
}

UpstreamRates &upstreamEntry(LearnedRates &rates, const UpstreamId &upstream, const std::string &target)
{
    UpstreamRates prior = rates.targets[target];
    prior.sampleCount = 0;
    prior.firstTokenFit = {};
    prior.serviceFit = {};
    return rates.upstreams.try_emplace(upstream, prior).first->second;
}

void addPoint(LineFit &fit, double x, double y, double keep)
{
    fit.weight = fit.weight * keep + 1;
    fit.x = fit.x * keep + x;
    fit.y = fit.y * keep + y;
    fit.xx = fit.xx * keep + x * x;
    fit.xy = fit.xy * keep + x * y;
}

void addPrior(UpstreamRates &rates)
{
    for (const double x : priorTokens) {
        addPoint(rates.firstTokenFit, x, rates.firstTokenOverhead.count() + x / rates.shortPrefillTokensPerSecond, 1);
    }
}

/** Reads rate and overhead from the line; where prompts are all alike only the overhead moves. */
void readLine(UpstreamRates &rates)
{
    const LineFit &fit = rates.firstTokenFit;
    const double meanX = fit.x / fit.weight;
    const double meanY = fit.y / fit.weight;
    const double variance = fit.xx / fit.weight - meanX * meanX;
    if (variance > leastVariance) {
        const double slope = (fit.xy / fit.weight - meanX * meanY) / variance;
        // The line through the origin is the steepest that needs no negative overhead.
        const double steepest = meanX > 0 ? meanY / meanX : 1 / slowestPrefill;
        rates.shortPrefillTokensPerSecond
            = std::clamp(1 / std::clamp(slope, steepest * flattestShare, steepest), slowestPrefill, fastestPrefill);
    }
    rates.firstTokenOverhead = FractionalSeconds(std::max(0.0, meanY - meanX / rates.shortPrefillTokensPerSecond));
}

void applyFirstToken(UpstreamRates &rates, const FirstTokenSample &sample, double lasting)
{
    const auto tokens = static_cast<double>((sample.prefill + sample.prefillAhead).count());
    const double total = std::max(1e-4, sample.observed.count());
    if (sample.isLong && !sample.isDelayTolerant) {
        return;
    }
    if (sample.isLong) {
        const double rate = std::clamp(tokens / total, slowestPrefill, fastestPrefill);
        approach(rates.longPrefillTokensPerSecond, rate, weightOf(rates, lasting));
        return;
    }
    if (rates.firstTokenFit.weight <= 0) {
        addPrior(rates);
    }
    addPoint(rates.firstTokenFit, tokens, total, 1 - lasting);
    readLine(rates);
}

/** Robbins-Monro step towards the percentile: up by much on the rare excess, down by little otherwise. */
void learnError(FractionalSeconds &error, FractionalSeconds observed, FractionalSeconds predicted)
{
    const bool isAbove = observed > predicted + error;
    // Steps in proportion to the error, so that a large one is found as soon as a small one.
    const FractionalSeconds step = errorStep + error * 0.2;
    error += isAbove ? step * errorPercentile : -step * (1 - errorPercentile);
    error = std::clamp(error, smallestError, largestError);
}

void applyService(UpstreamRates &rates, const ServiceSample &sample, double lasting)
{
    LineFit &fit = rates.serviceFit;
    if (fit.weight <= 0) {
        for (const double x : priorRequests) {
            addPoint(fit, x, (rates.serviceTime + rates.serviceTimePerRequest * x).count(), 1);
        }
    }
    addPoint(fit, sample.requestsAhead, sample.observed.count(), 1 - lasting);
    const double meanX = fit.x / fit.weight;
    const double meanY = fit.y / fit.weight;
    const double variance = fit.xx / fit.weight - meanX * meanX;
    if (variance > leastRequestVariance) {
        const double slope = (fit.xy / fit.weight - meanX * meanY) / variance;
        rates.serviceTimePerRequest = FractionalSeconds(std::clamp(slope, 0.0, meanY));
    }
    rates.serviceTime = FractionalSeconds(std::max(0.0, meanY - meanX * rates.serviceTimePerRequest.count()));
}

} // namespace

bool isDelayTolerantPrompt(const LearnedRates &rates, Tokens prompt, FractionalSeconds firstTokenTarget)
{
    return isLongPrompt(prompt) && firstTokenTarget >= rates.meanLongFirstTokenTarget * patientShare;
}

UpstreamRates ratesOf(const LearnedRates &rates, const UpstreamId &upstream, const std::string &target, MonoTime now)
{
    const auto prior = rates.targets.find(target);
    UpstreamRates mixed = prior == rates.targets.end() ? UpstreamRates{} : prior->second;
    const auto own = rates.upstreams.find(upstream);
    if (own == rates.upstreams.end()) {
        return mixed;
    }
    const FractionalSeconds age = std::max(FractionalSeconds(0), FractionalSeconds(now - own->second.lastSampleAt));
    const double fresh = own->second.sampleCount * std::exp(-age / trustTimeConstant);
    const double trust = fresh / (fresh + samplesForHalfTrust);
    approach(mixed.shortPrefillTokensPerSecond, own->second.shortPrefillTokensPerSecond, trust);
    approach(mixed.longPrefillTokensPerSecond, own->second.longPrefillTokensPerSecond, trust);
    approach(mixed.firstTokenOverhead, own->second.firstTokenOverhead, trust);
    approach(mixed.decodeInterval, own->second.decodeInterval, trust);
    approach(mixed.serviceTime, own->second.serviceTime, trust);
    approach(mixed.serviceTimePerRequest, own->second.serviceTimePerRequest, trust);
    return mixed;
}

void learnFirstToken(LearnedRates &rates, const FirstTokenSample &sample, MonoTime now)
{
    UpstreamRates &own = upstreamEntry(rates, sample.upstream, sample.target);
    applyFirstToken(own, sample, upstreamWeight);
    countSample(own, now);
    UpstreamRates &target = rates.targets[sample.target];
    applyFirstToken(target, sample, targetWeight);
    countSample(target, now);
    if (!sample.isLong) {
        approach(rates.meanShortPromptTokens, static_cast<double>(sample.prefill.count()), targetWeight);
        learnError(rates.firstTokenErrorP99, sample.observed, sample.predicted);
    } else {
        approach(rates.meanLongFirstTokenTarget, sample.firstTokenTarget, targetWeight);
    }
}

void learnDecode(LearnedRates &rates, const UpstreamId &upstream, const std::string &target, FractionalSeconds interval,
    MonoTime now)
{
    UpstreamRates &own = upstreamEntry(rates, upstream, target);
    approach(own.decodeInterval, interval, upstreamWeight);
    own.lastSampleAt = now;
    approach(rates.targets[target].decodeInterval, interval, targetWeight);
}

void learnService(LearnedRates &rates, const ServiceSample &sample, MonoTime now)
{
    UpstreamRates &own = upstreamEntry(rates, sample.upstream, sample.target);
    applyService(own, sample, upstreamWeight);
    countSample(own, now);
    UpstreamRates &all = rates.targets[sample.target];
    applyService(all, sample, targetWeight);
    countSample(all, now);
    learnError(rates.serviceErrorP99, sample.observed, sample.predicted);
}

void removeStaleUpstreams(LearnedRates &rates, MonoTime now)
{
    std::erase_if(rates.upstreams, [now](const auto &row) {
        return now - row.second.lastSampleAt > silenceBeforeForgetting;
    });
}

} // namespace magnolia::observing
