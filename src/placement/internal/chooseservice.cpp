// Upstream selection for plain services.
#include "placement/chooseservice.h"

#include "framework/global/random.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace magnolia::placement
{

namespace
{

/** Added time of a full upstream against an idle one, as a share of the service time: servers slow down when nearly
 * full. */
constexpr double fullUpstreamCost = 0.3;

double predictedMs(const ServiceWork &work, const Candidate &candidate, int requests)
{
    const int slots = std::max(candidate.slots, 1);
    const double queueRounds = std::max(0, requests + 1 - slots) / static_cast<double>(slots);
    return (queueRounds + 1) * work.meanServiceMs * candidate.slowdown
        + 2.0 * static_cast<double>(candidate.networkDelay.count())
        // Prefers the less loaded of several free upstreams, since servers slow down when nearly full.
        + work.meanServiceMs * fullUpstreamCost * requests / slots;
}

} // namespace

Decision chooseServiceUpstream(const ServiceWork &work, std::span<const Candidate> candidates,
    const std::unordered_map<UpstreamKey, PlacementLoad> &loads)
{
    Decision decision;
    struct Rated
    {
        UpstreamKey key = 0;
        double predicted = 0;
    };
    std::vector<Rated> rated;
    double best = std::numeric_limits<double>::infinity();
    for (const Candidate &candidate : candidates) {
        const auto load = loads.find(candidate.key);
        const int requests = candidate.unreportedRequests + (load == loads.end() ? 0 : load->second.requests);
        if (candidate.isOnTrial && requests > 0) {
            continue;
        }
        rated.push_back({candidate.key, predictedMs(work, candidate, requests)});
        best = std::min(best, rated.back().predicted);
    }
    // Predictions that differ by less than a full upstream adds may be reversed by requests not yet known here.
    std::erase_if(rated, [&](const Rated &it) {
        return it.predicted > best + work.meanServiceMs * fullUpstreamCost;
    });
    if (!rated.empty()) {
        Random random(work.seed);
        const std::size_t first = random.below(rated.size());
        const std::size_t second
            = (first + 1 + random.below(std::max<std::size_t>(rated.size(), 2) - 1)) % rated.size();
        const Rated &chosen = rated[second].predicted < rated[first].predicted ? rated[second] : rated[first];
        decision.primary = chosen.key;
        best = chosen.predicted;
    }
    if (decision.primary == 0) {
        decision.verdict = Verdict::NoUpstream;
        return decision;
    }
    decision.predictedFirstEvent = Milliseconds(static_cast<std::int64_t>(best));
    if (decision.predictedFirstEvent >= work.time.untilFirstEvent(0)) {
        decision.verdict = Verdict::TooLate;
        decision.retryAfter = timeUntilServable(work.time, best, 0);
        return decision;
    }
    decision.verdict = Verdict::Send;
    return decision;
}

} // namespace magnolia::placement
