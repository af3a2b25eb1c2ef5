// A version of the published configuration, indexed for request handling.
#pragma once

#include "catalogue/types/route.h"
#include "catalogue/types/service.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnolia::catalogue
{

struct OrganisationEntry
{
    OrganisationId name;
    /** Overrides the priority of the route. */
    std::optional<int> priority;
    /** Regions whose upstreams may run the requests; empty if all may. Homes of the route bind as well. */
    std::vector<RegionId> homes;
};

/** Size and time limits for incoming requests; the defaults apply until a configuration is known. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 4'194'304;
    Milliseconds headerTimeout{3000};
    Milliseconds idleTimeout{15'000};
};

struct Catalogue
{
    std::uint64_t version = 0;
    CallerLimits limits;
    /** Whether requests need an API key unless their route is public; true also if no organisation holds one. */
    bool requiresApiKeys = false;
    std::unordered_map<std::string, OrganisationEntry> organisationByApiKey;
    std::map<std::string, Service> services;
    // Invariant: the routes of a host are sorted by descending prefix length, so the first match is the longest.
    std::unordered_map<std::string, std::vector<Route>> routesByHost;
};

} // namespace magnolia::catalogue
