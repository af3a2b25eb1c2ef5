// Implements the priority by rank and slack.
#include "placement/enginepriority.h"

#include "catalogue/callerbehaviour.h"

#include <algorithm>

namespace magnolia::placement
{

UrgencyScale urgencyScale(const catalogue::Catalogue &catalogue)
{
    UrgencyScale scale;
    for (const auto &[host, routes] : catalogue.routesByHost) {
        for (const catalogue::Route &it : routes) {
            if (it.kind == catalogue::RouteKind::Stream) {
                scale.ranks.push_back(it.priority);
                const Milliseconds patience = catalogue::streamPatience(it.latencyTarget, it.gapTarget);
                scale.longestWait = std::max(scale.longestWait, std::min(it.timeout, patience));
            }
        }
    }
    for (const auto &[key, organisation] : catalogue.organisationByApiKey) {
        if (organisation.priority) {
            scale.ranks.push_back(*organisation.priority);
        }
    }
    std::sort(scale.ranks.begin(), scale.ranks.end());
    scale.ranks.erase(std::unique(scale.ranks.begin(), scale.ranks.end()), scale.ranks.end());
    return scale;
}

int enginePriority(const UrgencyScale &scale, int rank, Milliseconds slack)
{
    constexpr int priorities = maxEnginePriority + 1;
    const auto position = std::lower_bound(scale.ranks.begin(), scale.ranks.end(), rank);
    const int rankCount = std::max<int>(1, static_cast<int>(scale.ranks.size()));
    const int index = std::min(static_cast<int>(position - scale.ranks.begin()), rankCount - 1);
    const int first = index * priorities / rankCount;
    const int width = std::max(1, (index + 1) * priorities / rankCount - first);
    const double longest = std::max(1.0, static_cast<double>(scale.longestWait.count()));
    const double share = std::clamp(static_cast<double>(slack.count()) / longest, 0.0, 1.0);
    return first + std::min(width - 1, static_cast<int>(share * width));
}

} // namespace magnolia::placement
