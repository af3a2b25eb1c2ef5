// Addresses of the platform's services.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace magnolia::settings
{

struct PlatformSettings
{
    /** Addresses `ip:port` of the configuration service's replicas. Invariant: not empty, no duplicates. */
    std::vector<std::string> configuration;
    /** Addresses `ip:port` of the instance list's replicas. Invariant: not empty, no duplicates. */
    std::vector<std::string> instances;
    /** Address `ip:port` of the weight store; empty if there is none. */
    std::optional<std::string> weightStore;
};

} // namespace magnolia::settings
