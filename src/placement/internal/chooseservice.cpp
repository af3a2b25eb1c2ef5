// Upstream selection for plain services.
#include "placement/chooseservice.h"

#include <algorithm>
#include <limits>

namespace magnolia::placement
{

namespace
{

constexpr Milliseconds minRetryAfter{100};

double predictedMs(const ServiceWork &work, const Candidate &candidate, int requests)
{
    const int slots = std::max(candidate.slots, 1);
    const double queueRounds = std::max(0, requests + 1 - slots) / static_cast<double>(slots);
    return (queueRounds + 1) * work.meanServiceMs * candidate.slowdown
        + 2.0 * static_cast<double>(candidate.networkDelay.count())
        // Prefers the less loaded of several free upstreams, since servers slow down when nearly full.
        + work.meanServiceMs * 0.3 * requests / slots;
}

} // namespace

Decision chooseServiceUpstream(const ServiceWork &work, std::span<const Candidate> candidates,
    const std::unordered_map<UpstreamKey, PlacementLoad> &loads)
{
    Decision decision;
    double best = std::numeric_limits<double>::infinity();
    for (const Candidate &candidate : candidates) {
        const auto load = loads.find(candidate.key);
        const int requests = candidate.unreportedRequests + (load == loads.end() ? 0 : load->second.requests);
        if (candidate.isOnTrial && requests > 0) {
            continue;
        }
        const double predicted = predictedMs(work, candidate, requests);
        if (predicted < best) {
            best = predicted;
            decision.primary = candidate.key;
        }
    }
    if (decision.primary == 0) {
        decision.verdict = Verdict::NoUpstream;
        decision.retryAfter = minRetryAfter;
        return decision;
    }
    decision.predictedFirstEvent = Milliseconds(static_cast<std::int64_t>(best));
    if (decision.predictedFirstEvent >= work.timeLeft) {
        decision.verdict = Verdict::TooLate;
        decision.retryAfter = std::max(minRetryAfter, work.timeLeft / 4);
        return decision;
    }
    decision.verdict = Verdict::Send;
    return decision;
}

} // namespace magnolia::placement
