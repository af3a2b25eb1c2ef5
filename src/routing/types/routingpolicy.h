// The policies for choosing an upstream. All but SlackAware are baselines for benchmarks.
#pragma once

#include <string_view>

namespace magnolia::routing
{

enum class RoutingPolicy {
    SlackAware,
    RoundRobin,
    LeastOutstanding,
    PrefixAffinity,
};

[[nodiscard]] constexpr std::string_view toString(RoutingPolicy policy)
{
    switch (policy) {
    case RoutingPolicy::SlackAware:
        return "slack-aware";
    case RoutingPolicy::RoundRobin:
        return "round-robin";
    case RoutingPolicy::LeastOutstanding:
        return "least-outstanding";
    case RoutingPolicy::PrefixAffinity:
        return "prefix-affinity";
    }
    return "slack-aware";
}

} // namespace magnolia::routing
