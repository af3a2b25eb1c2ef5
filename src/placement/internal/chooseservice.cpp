// The choice of an upstream for a plain call.
#include "placement/chooseservice.h"

#include <algorithm>
#include <limits>

namespace magnolia::placement
{

namespace
{

constexpr Milliseconds shortestReturn{100};

double waitMs(const ServiceWork &work, const Candidate &it, int requests)
{
    const int slots = std::max(it.slots, 1);
    const double rounds = std::max(0, requests + 1 - slots) / static_cast<double>(slots);
    return (rounds + 1) * work.meanServiceMs * it.slowdown
        + 2.0 * static_cast<double>(it.networkDelay.count())
        // Among free ones the emptier is preferred, since servers slow down when nearly full.
        + work.meanServiceMs * 0.3 * requests / slots;
}

} // namespace

Decision chooseServiceUpstream(const ServiceWork &work, std::span<const Candidate> candidates,
    const std::unordered_map<UpstreamKey, PlacementLoad> &loads)
{
    Decision made;
    double best = std::numeric_limits<double>::infinity();
    for (const Candidate &it : candidates) {
        const auto load = loads.find(it.key);
        const int requests = it.unreportedRequests + (load == loads.end() ? 0 : load->second.requests);
        if (it.isOnTrial && requests > 0) {
            continue;
        }
        const double wait = waitMs(work, it, requests);
        if (wait < best) {
            best = wait;
            made.primary = it.key;
        }
    }
    if (made.primary == 0) {
        made.verdict = Verdict::NoUpstream;
        made.retryAfter = shortestReturn;
        return made;
    }
    made.predictedFirstEvent = Milliseconds(static_cast<std::int64_t>(best));
    if (made.predictedFirstEvent >= work.timeLeft) {
        made.verdict = Verdict::TooLate;
        made.retryAfter = std::max(shortestReturn, work.timeLeft / 4);
        return made;
    }
    made.verdict = Verdict::Send;
    return made;
}

} // namespace magnolia::placement
