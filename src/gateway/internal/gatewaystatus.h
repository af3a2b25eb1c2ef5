// What a gateway instance knows and believes, for operators.
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

/** Facts that the context does not hold. */
struct InstanceStatus
{
    /** "ready", "starting" or "stopping". */
    std::string_view state;
    bool isStoreReached = false;
    std::size_t openRequests = 0;
};

/** One JSON object: scalars first, then tables of peers, upstreams and retry budgets. Times in milliseconds. */
[[nodiscard]] std::string statusJson(
    GatewayContext &context, const published::PublishedState &publishedState, const InstanceStatus &instanceStatus);

} // namespace magnolia::gateway
