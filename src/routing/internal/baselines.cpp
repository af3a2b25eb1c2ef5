// Baseline policies for comparison: round robin, least outstanding requests, prefix affinity.
#include "framework/global/hashing.h"
#include "observing/ownwork.h"
#include "routing/internal/policies.h"
#include "routing/prediction.h"

#include <algorithm>

namespace magnolia::routing::internal
{

namespace
{

// Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2016): at most 1.25 times the mean.
constexpr double boundedLoadFactor = 1.25;

std::vector<double> outstandingCounts(const RoutingContext &context, const Upstreams &usable)
{
    std::vector<double> counts;
    counts.reserve(usable.size());
    for (const PublishedInstance *it : usable) {
        counts.push_back(observing::ownWorkAt(*context.ownWork, UpstreamId(it->id)).inFlight);
    }
    return counts;
}

std::vector<double> roundRobinScores(const RoutingContext &context, const Upstreams &usable)
{
    std::vector<double> scores;
    for (std::size_t i = 0; i < usable.size(); ++i) {
        scores.push_back(
            static_cast<double>((i + usable.size() - context.roundRobinCursor % usable.size()) % usable.size()));
    }
    return scores;
}

std::vector<double> affinityScores(
    const RoutingRequest &request, const RoutingContext &context, const Upstreams &usable)
{
    const std::vector<double> counts = outstandingCounts(context, usable);
    double sum = 0;
    for (const double count : counts) {
        sum += count;
    }
    const double bound = boundedLoadFactor * (sum + 1) / static_cast<double>(usable.size()) + 1;
    const std::string key
        = request.prefixHash ? std::to_string(*request.prefixHash) : request.organisation.value() + request.id.value();
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for (std::size_t i = 0; i < usable.size(); ++i) {
        order.emplace_back(rendezvousWeight(key, usable[i]->id), i);
    }
    std::sort(order.begin(), order.end(), std::greater<>());
    std::vector<double> scores(usable.size());
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        const std::size_t i = order[rank].second;
        const double overloadPenalty = counts[i] >= bound ? static_cast<double>(usable.size()) : 0;
        scores[i] = static_cast<double>(rank) + overloadPenalty;
    }
    return scores;
}

std::vector<double> baselineScores(
    const RoutingRequest &request, const RoutingContext &context, const Upstreams &usable)
{
    switch (context.policy) {
    case RoutingPolicy::LeastOutstanding:
        return outstandingCounts(context, usable);
    case RoutingPolicy::PrefixAffinity:
        return affinityScores(request, context, usable);
    default:
        return roundRobinScores(context, usable);
    }
}

} // namespace

Result<RoutingDecision> decisionFromRanking(
    std::vector<RankedUpstream> ranked, std::uint32_t groupSize, const RoutingRequest &request)
{
    // Also applies to a group that the fleet can never form; only more engines would help then.
    constexpr Milliseconds groupRetryAfter{2000};
    if (ranked.size() < groupSize) {
        auto error = makeError(ResultCode::MemoryGroupUnavailable,
            std::to_string(groupSize) + " engines needed for the prompt, " + std::to_string(ranked.size()) + " usable");
        error.value().retryAfter = groupRetryAfter;
        return error;
    }
    RoutingDecision decision;
    decision.candidateCount = static_cast<std::uint32_t>(ranked.size());
    decision.chosen = ranked.front();
    if (groupSize > 1) {
        decision.group.assign(ranked.begin(), ranked.begin() + groupSize);
        decision.memoryPerMember = Tokens((memoryNeeded(request).count() + groupSize - 1) / groupSize);
    }
    const auto rest = static_cast<std::ptrdiff_t>(std::max<std::uint32_t>(groupSize, 1));
    decision.alternates.assign(ranked.begin() + rest, ranked.end());
    return decision;
}

Result<RoutingDecision> chooseByBaseline(
    const RoutingRequest &request, const RoutingContext &context, const Upstreams &usable, MonoTime now)
{
    const std::vector<double> scores = baselineScores(request, context, usable);
    std::vector<RankedUpstream> ranked;
    for (std::size_t i = 0; i < usable.size(); ++i) {
        ranked.push_back({UpstreamId(usable[i]->id), usable[i]->address, scores[i], Milliseconds(-1), false});
    }
    // Ties are broken by a hash of the request; otherwise all entries would start with the same upstream.
    const std::string salt = request.id.value();
    std::sort(ranked.begin(), ranked.end(), [&salt](const RankedUpstream &a, const RankedUpstream &b) {
        if (a.score != b.score) {
            return a.score < b.score;
        }
        return rendezvousWeight(salt, a.upstream.value()) > rendezvousWeight(salt, b.upstream.value());
    });
    const bool isModel = request.kind == RequestKind::Model;
    auto decision
        = decisionFromRanking(std::move(ranked), isModel ? enginesNeeded(request, usable.front()->memory) : 1, request);
    if (decision) {
        decision->reason = toString(context.policy);
        decision->priority = context.wallNow.time_since_epoch().count();
        decision->listAge = toMilliseconds(now - context.list->readAt);
    }
    return decision;
}

} // namespace magnolia::routing::internal
