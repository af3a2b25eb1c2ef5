// Queue ahead and own prefill over the learned rate, then decode at the learned interval.
#include "routing/prediction.h"

#include "observing/loadmerge.h"
#include "routing/prefixhints.h"

#include <algorithm>
#include <cmath>

namespace magnolia::routing
{

namespace
{

const UpstreamLoad *reportOf(const RoutingFacts &facts, const UpstreamId &upstream)
{
    const auto it = facts.load->upstreams.find(upstream);
    return it == facts.load->upstreams.end() ? nullptr : &it->second;
}

const std::vector<observing::OwnDispatch> *ownOf(const RoutingFacts &facts, const UpstreamId &upstream)
{
    const auto it = facts.ownWork->upstreams.find(upstream);
    return it == facts.ownWork->upstreams.end() ? nullptr : &it->second;
}

Prediction predictService(Prediction prediction, const observing::UpstreamRates &rates)
{
    prediction.firstTokenAlone = rates.serviceTime;
    prediction.finishAlone = rates.serviceTime;
    prediction.firstToken = rates.serviceTime + rates.serviceTimePerRequest * prediction.load.requests;
    prediction.finish = prediction.firstToken;
    return prediction;
}

/** Until `need` is free, after what waits already: memory is released as the running requests end. */
FractionalSeconds memoryWait(const observing::LoadEstimate &load, double need, FractionalSeconds longestDecode)
{
    const auto free = static_cast<double>(load.freeMemory.count());
    const double lacking = need + static_cast<double>(load.waitingMemory.count()) - free;
    if (lacking <= 0) {
        return FractionalSeconds(0);
    }
    // On average a request generates half of what it may.
    const auto released = static_cast<double>(std::max(load.runningMemory, Tokens(1)).count());
    return longestDecode / 2 * std::min(1.0, lacking / released);
}

Prediction predictModel(Prediction prediction, const RoutingRequest &request, const observing::UpstreamRates &rates,
    std::uint32_t parts, Tokens cached, Tokens memory, bool isPatient)
{
    const bool isLong = observing::isLongPrompt(request.prompt);
    const double rate = isPatient ? rates.longPrefillTokensPerSecond : rates.shortPrefillTokensPerSecond;
    const double prefill = static_cast<double>((request.prompt - cached).count()) / parts;
    // By priority the engine takes what is due earlier first.
    const observing::LoadEstimate &load = prediction.load;
    prediction.ahead = isPatient ? load.totalPrefill : load.shortPrefill + load.urgentLongPrefill;
    const FractionalSeconds decode = rates.decodeInterval * static_cast<double>(request.maxOutput.count());
    prediction.firstTokenAlone = rates.firstTokenOverhead + FractionalSeconds(prefill / rate);
    prediction.finishAlone = prediction.firstTokenAlone + decode;
    const double left = isLong ? static_cast<double>(memory.count()) * shortMemoryShare : 0;
    const auto need = static_cast<double>(memoryNeed(request).count()) / parts + left;
    prediction.hasMemory = static_cast<double>(load.freeMemory.count()) >= need;
    const FractionalSeconds queue(static_cast<double>(prediction.ahead.count()) / rate);
    // While requests wait for memory the prefill queue says nothing, and the other way round.
    const FractionalSeconds wait = isLong ? queue : std::max(queue, memoryWait(load, need, decode));
    prediction.firstToken = prediction.firstTokenAlone + wait;
    prediction.finish = prediction.firstToken + decode;
    return prediction;
}

} // namespace

std::uint32_t enginesNeeded(const RoutingRequest &request, Tokens memory)
{
    const double usable = static_cast<double>(memory.count()) * usableMemoryShare;
    const auto need = static_cast<double>(memoryNeed(request).count());
    if (usable <= 0 || need <= usable) {
        return 1;
    }
    return static_cast<std::uint32_t>(std::ceil(need / usable));
}

Prediction predict(const RoutingRequest &request, const PublishedInstance &upstream, std::uint32_t parts,
    const RoutingFacts &facts, MonoTime now)
{
    const UpstreamId id(upstream.id);
    const observing::UpstreamRates rates = observing::ratesOf(*facts.rates, id, request.target, now);
    const observing::MergeInput input{reportOf(facts, id), ownOf(facts, id), upstream.memory, request.firstTokenBy};
    Prediction prediction;
    prediction.load = observing::estimateLoad(input, rates, facts.fleet, facts.rates->meanShortPrompt, now);
    if (request.kind == RequestKind::Service) {
        return predictService(prediction, rates);
    }
    const bool isPatient
        = observing::isPatientPrompt(*facts.rates, request.prompt, request.firstTokenBy - request.arrived);
    const Tokens cached
        = request.prefixHash ? cachedTokens(*facts.prefixHints, *request.prefixHash, id, now) : Tokens{};
    return predictModel(
        prediction, request, rates, parts, std::min(cached, request.prompt), upstream.memory, isPatient);
}

} // namespace magnolia::routing
