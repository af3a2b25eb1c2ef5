// Implements the decision to ask a peer for a first state.
#include "fleet/startupfetch.h"

#include <algorithm>

namespace magnolia::fleet
{

namespace
{

/** Requests per source and look. With more, many are refused; with fewer, the links of some sources are idle. */
constexpr double requestsPerSource = 1.5;

} // namespace

double startupFetchShare(const StartupFetchView &view)
{
    if (view.sources == 0) {
        return 0;
    }
    const double wanted = requestsPerSource * static_cast<double>(view.sources);
    return std::min(1.0, wanted / static_cast<double>(std::max<std::size_t>(1, view.withoutState)));
}

Milliseconds startupLookDelay(Random &random)
{
    const auto range = static_cast<std::uint64_t>(startupLookInterval.count());
    return startupLookInterval / 2 + Milliseconds(random.below(range + 1));
}

} // namespace magnolia::fleet
