// Status report of a gateway instance for operators.
#pragma once

#include <string>
#include <string_view>

namespace magnolia::published
{
class PublishedState;
}

namespace magnolia::gateway
{

struct GatewayContext;

/** Status values that GatewayContext does not hold. */
struct InstanceStatus
{
    /** "ready", "starting" or "stopping". */
    std::string_view state;
    bool isStoreReached = false;
    std::size_t openRequests = 0;
};

/** Returns one JSON object: scalars first, then arrays of peers, upstreams and retry budgets. Times are in
 * milliseconds. */
[[nodiscard]] std::string statusJson(
    GatewayContext &context, const published::PublishedState &publishedState, const InstanceStatus &instanceStatus);

} // namespace magnolia::gateway
