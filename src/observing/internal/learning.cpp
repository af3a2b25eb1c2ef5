// Exponentially weighted means of speeds, and a stochastic approximation of a percentile of the prediction error.
#include "observing/learning.h"

#include <algorithm>
#include <cmath>

namespace magnolia::observing
{

namespace
{

constexpr double upstreamSampleWeight = 0.1;
constexpr double targetSampleWeight = 0.03;
// With this many recent samples an upstream's own values weigh as much as the prior.
constexpr double samplesForHalfTrust = 8;
constexpr double maxSampleCount = 64;
constexpr FractionalSeconds trustTimeConstant{60};
constexpr Seconds staleAfter{600};
constexpr double minPrefillTokensPerSecond = 100;
constexpr double maxPrefillTokensPerSecond = 10'000'000;
// Two synthetic samples on the prior's line stabilise the regression until there are enough real ones.
constexpr double priorSampleTokens[] = {500, 8'000};
constexpr double minTokenVariance = 1e4;
constexpr double minRequestVariance = 0.5;
// Smallest slope, as a share of the largest: noise must not make prefill look free.
constexpr double minSlopeShare = 0.2;
// A first token target below this share of the mean over long prompts is tight.
constexpr double delayTolerantShare = 0.5;
constexpr double errorQuantile = 0.99;
constexpr FractionalSeconds baseErrorStep{0.01};
constexpr FractionalSeconds minError{0};
constexpr FractionalSeconds maxError{5};
constexpr double priorSampleRequests[] = {0, 10};

void blend(double &value, double sample, double weight)
{
    value += (sample - value) * weight;
}

void blend(FractionalSeconds &value, FractionalSeconds sample, double weight)
{
    value += (sample - value) * weight;
}

/** Weight of the next sample; the first ones weigh more, so that the rates of a new upstream converge quickly. */
double sampleWeight(const UpstreamRates &rates, double steadyWeight)
{
    return std::max(steadyWeight, 1 / (rates.sampleCount + 2));
}

void countSample(UpstreamRates &rates, MonoTime now)
{
    rates.sampleCount = std::min(maxSampleCount, rates.sampleCount + 1);
    rates.lastSampleAt = now;
}

UpstreamRates &findOrAddUpstream(LearnedRates &rates, const UpstreamId &upstream, const std::string &target)
{
    UpstreamRates prior = rates.targets[target];
    prior.sampleCount = 0;
    prior.firstTokenFit = {};
    prior.serviceFit = {};
    return rates.upstreams.try_emplace(upstream, prior).first->second;
}

void addPoint(LineFit &fit, double x, double y, double retainedShare)
{
    fit.weight = fit.weight * retainedShare + 1;
    fit.x = fit.x * retainedShare + x;
    fit.y = fit.y * retainedShare + y;
    fit.xx = fit.xx * retainedShare + x * x;
    fit.xy = fit.xy * retainedShare + x * y;
}

void addPriorSamples(UpstreamRates &rates)
{
    for (const double x : priorSampleTokens) {
        addPoint(rates.firstTokenFit, x, rates.firstTokenOverhead.count() + x / rates.shortPrefillTokensPerSecond, 1);
    }
}

/** Derives rate and overhead from the regression line; where all prompts are alike only the overhead changes. */
void updateFromFit(UpstreamRates &rates)
{
    const LineFit &fit = rates.firstTokenFit;
    const double meanX = fit.x / fit.weight;
    const double meanY = fit.y / fit.weight;
    const double variance = fit.xx / fit.weight - meanX * meanX;
    if (variance > minTokenVariance) {
        const double slope = (fit.xy / fit.weight - meanX * meanY) / variance;
        // A line steeper than the one through the origin would mean a negative overhead.
        const double maxSlope = meanX > 0 ? meanY / meanX : 1 / minPrefillTokensPerSecond;
        rates.shortPrefillTokensPerSecond = std::clamp(1 / std::clamp(slope, maxSlope * minSlopeShare, maxSlope),
            minPrefillTokensPerSecond, maxPrefillTokensPerSecond);
    }
    rates.firstTokenOverhead = FractionalSeconds(std::max(0.0, meanY - meanX / rates.shortPrefillTokensPerSecond));
}

void addFirstTokenSample(UpstreamRates &rates, const FirstTokenSample &sample, double steadyWeight)
{
    const auto tokens = static_cast<double>((sample.prefill + sample.prefillAhead).count());
    const double total = std::max(1e-4, sample.observed.count());
    if (sample.isLong && !sample.isDelayTolerant) {
        return;
    }
    if (sample.isLong) {
        const double rate = std::clamp(tokens / total, minPrefillTokensPerSecond, maxPrefillTokensPerSecond);
        blend(rates.longPrefillTokensPerSecond, rate, sampleWeight(rates, steadyWeight));
        return;
    }
    if (rates.firstTokenFit.weight <= 0) {
        addPriorSamples(rates);
    }
    addPoint(rates.firstTokenFit, tokens, total, 1 - steadyWeight);
    updateFromFit(rates);
}

/** Robbins-Monro step towards the percentile: a large step up on the rare excess, a small step down otherwise. */
void updateErrorPercentile(FractionalSeconds &error, FractionalSeconds observed, FractionalSeconds predicted)
{
    const bool isAbove = observed > predicted + error;
    // The step grows with the error, so that a large error is reached as quickly as a small one.
    const FractionalSeconds step = baseErrorStep + error * 0.2;
    error += isAbove ? step * errorQuantile : -step * (1 - errorQuantile);
    error = std::clamp(error, minError, maxError);
}

void addServiceSample(UpstreamRates &rates, const ServiceSample &sample, double steadyWeight)
{
    LineFit &fit = rates.serviceFit;
    if (fit.weight <= 0) {
        for (const double x : priorSampleRequests) {
            addPoint(fit, x, (rates.serviceTime + rates.serviceTimePerRequest * x).count(), 1);
        }
    }
    addPoint(fit, sample.requestsAhead, sample.observed.count(), 1 - steadyWeight);
    const double meanX = fit.x / fit.weight;
    const double meanY = fit.y / fit.weight;
    const double variance = fit.xx / fit.weight - meanX * meanX;
    if (variance > minRequestVariance) {
        const double slope = (fit.xy / fit.weight - meanX * meanY) / variance;
        rates.serviceTimePerRequest = FractionalSeconds(std::clamp(slope, 0.0, meanY));
    }
    rates.serviceTime = FractionalSeconds(std::max(0.0, meanY - meanX * rates.serviceTimePerRequest.count()));
}

} // namespace

bool isDelayTolerantPrompt(const LearnedRates &rates, Tokens prompt, FractionalSeconds firstTokenTarget)
{
    return isLongPrompt(prompt) && firstTokenTarget >= rates.meanLongFirstTokenTarget * delayTolerantShare;
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
    const double recentSampleCount = own->second.sampleCount * std::exp(-age / trustTimeConstant);
    const double trust = recentSampleCount / (recentSampleCount + samplesForHalfTrust);
    blend(mixed.shortPrefillTokensPerSecond, own->second.shortPrefillTokensPerSecond, trust);
    blend(mixed.longPrefillTokensPerSecond, own->second.longPrefillTokensPerSecond, trust);
    blend(mixed.firstTokenOverhead, own->second.firstTokenOverhead, trust);
    blend(mixed.decodeInterval, own->second.decodeInterval, trust);
    blend(mixed.serviceTime, own->second.serviceTime, trust);
    blend(mixed.serviceTimePerRequest, own->second.serviceTimePerRequest, trust);
    return mixed;
}

void learnFirstToken(LearnedRates &rates, const FirstTokenSample &sample, MonoTime now)
{
    UpstreamRates &own = findOrAddUpstream(rates, sample.upstream, sample.target);
    addFirstTokenSample(own, sample, upstreamSampleWeight);
    countSample(own, now);
    UpstreamRates &target = rates.targets[sample.target];
    addFirstTokenSample(target, sample, targetSampleWeight);
    countSample(target, now);
    if (!sample.isLong) {
        blend(rates.meanShortPromptTokens, static_cast<double>(sample.prefill.count()), targetSampleWeight);
        updateErrorPercentile(rates.firstTokenErrorP99, sample.observed, sample.predicted);
    } else {
        blend(rates.meanLongFirstTokenTarget, sample.firstTokenTarget, targetSampleWeight);
    }
}

void learnDecode(LearnedRates &rates, const UpstreamId &upstream, const std::string &target, FractionalSeconds interval,
    MonoTime now)
{
    UpstreamRates &own = findOrAddUpstream(rates, upstream, target);
    blend(own.decodeInterval, interval, upstreamSampleWeight);
    own.lastSampleAt = now;
    blend(rates.targets[target].decodeInterval, interval, targetSampleWeight);
}

void learnService(LearnedRates &rates, const ServiceSample &sample, MonoTime now)
{
    UpstreamRates &own = findOrAddUpstream(rates, sample.upstream, sample.target);
    addServiceSample(own, sample, upstreamSampleWeight);
    countSample(own, now);
    UpstreamRates &target = rates.targets[sample.target];
    addServiceSample(target, sample, targetSampleWeight);
    countSample(target, now);
    updateErrorPercentile(rates.serviceErrorP99, sample.observed, sample.predicted);
}

void removeStaleUpstreams(LearnedRates &rates, MonoTime now)
{
    std::erase_if(rates.upstreams, [now](const auto &row) {
        return now - row.second.lastSampleAt > staleAfter;
    });
}

} // namespace magnolia::observing
