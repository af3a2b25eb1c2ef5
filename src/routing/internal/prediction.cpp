// Time to the first token: queued and own prefill at the learned rate. Time to the finish: plus decode at the learned
// interval.
#include "routing/prediction.h"

#include "observing/loadmerge.h"
#include "routing/prefixhints.h"

#include <algorithm>
#include <cmath>

namespace magnolia::routing
{

namespace
{

const UpstreamLoad *reportOf(const RoutingContext &context, const UpstreamId &upstream)
{
    const auto it = context.load->upstreams.find(upstream);
    return it == context.load->upstreams.end() ? nullptr : &it->second;
}

const std::vector<observing::OwnAttempt> *ownAttemptsAt(const RoutingContext &context, const UpstreamId &upstream)
{
    const auto it = context.ownWork->upstreams.find(upstream);
    return it == context.ownWork->upstreams.end() ? nullptr : &it->second;
}

Prediction predictService(Prediction prediction, const observing::UpstreamRates &rates)
{
    prediction.unqueuedFirstToken = rates.serviceTime;
    prediction.unqueuedFinish = rates.serviceTime;
    prediction.firstToken = rates.serviceTime + rates.serviceTimePerRequest * prediction.load.requestCount;
    prediction.finish = prediction.firstToken;
    return prediction;
}

/** Time until `need` is free behind the requests that wait already; running requests release memory as they end. */
FractionalSeconds memoryWait(const observing::LoadEstimate &load, double need, FractionalSeconds maxDecode)
{
    const auto free = static_cast<double>(load.freeMemory.count());
    const double lacking = need + static_cast<double>(load.waitingMemory.count()) - free;
    if (lacking <= 0) {
        return FractionalSeconds(0);
    }
    // On average a request generates half of its maximum output.
    const auto released = static_cast<double>(std::max(load.runningMemory, Tokens(1)).count());
    return maxDecode / 2 * std::min(1.0, lacking / released);
}

Prediction predictModel(Prediction prediction, const RoutingRequest &request, const observing::UpstreamRates &rates,
    std::uint32_t groupSize, Tokens cached, Tokens memory, bool isDelayTolerant)
{
    const bool isLong = observing::isLongPrompt(request.prompt);
    const double rate = isDelayTolerant ? rates.longPrefillTokensPerSecond : rates.shortPrefillTokensPerSecond;
    const double prefill = static_cast<double>((request.prompt - cached).count()) / groupSize;
    // The engine serves requests by priority, those that are due earlier first.
    const observing::LoadEstimate &load = prediction.load;
    prediction.prefillAhead = isDelayTolerant ? load.totalPrefill : load.shortPrefill + load.urgentLongPrefill;
    const FractionalSeconds decode = rates.decodeInterval * static_cast<double>(request.maxOutput.count());
    prediction.unqueuedFirstToken = rates.firstTokenOverhead + FractionalSeconds(prefill / rate);
    prediction.unqueuedFinish = prediction.unqueuedFirstToken + decode;
    const double reserve = isLong ? static_cast<double>(memory.count()) * shortPromptMemoryReserveShare : 0;
    const auto need = static_cast<double>(memoryNeeded(request).count()) / groupSize + reserve;
    prediction.hasFreeMemory = static_cast<double>(load.freeMemory.count()) >= need;
    const FractionalSeconds queue(static_cast<double>(prediction.prefillAhead.count()) / rate);
    // The prefill queue is not informative while requests wait for memory, and vice versa; hence the maximum.
    const FractionalSeconds wait = isLong ? queue : std::max(queue, memoryWait(load, need, decode));
    prediction.firstToken = prediction.unqueuedFirstToken + wait;
    prediction.finish = prediction.firstToken + decode;
    return prediction;
}

} // namespace

std::uint32_t enginesNeeded(const RoutingRequest &request, Tokens memory)
{
    const double usable = static_cast<double>(memory.count()) * maxPromptMemoryShare;
    const auto need = static_cast<double>(memoryNeeded(request).count());
    if (usable <= 0 || need <= usable) {
        return 1;
    }
    return static_cast<std::uint32_t>(std::ceil(need / usable));
}

Prediction predict(const RoutingRequest &request, const PublishedInstance &upstream, std::uint32_t groupSize,
    const RoutingContext &context, MonoTime now)
{
    const UpstreamId id(upstream.id);
    const observing::UpstreamRates rates = observing::ratesOf(*context.rates, id, request.target, now);
    const observing::LoadEstimateInput input{
        reportOf(context, id), ownAttemptsAt(context, id), upstream.memory, request.firstTokenDue};
    Prediction prediction;
    prediction.load
        = observing::estimateLoad(input, rates, context.fleetLoad, context.rates->meanShortPromptTokens, now);
    if (request.kind == RequestKind::Service) {
        return predictService(prediction, rates);
    }
    const bool isDelayTolerant
        = observing::isDelayTolerantPrompt(*context.rates, request.prompt, request.firstTokenDue - request.arrivedAt);
    const Tokens cached
        = request.prefixHash ? cachedTokens(*context.prefixHints, *request.prefixHash, id, now) : Tokens{};
    return predictModel(
        prediction, request, rates, groupSize, std::min(cached, request.prompt), upstream.memory, isDelayTolerant);
}

} // namespace magnolia::routing
