// One version of the published configuration, indexed for the way of a request.
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
    /** Takes precedence over the route's. */
    std::optional<int> priority;
};

/** What callers may send, and how long they may take; the defaults hold while no configuration is known. */
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
    /** Whether requests carry keys at all. */
    bool hasOrganisations = false;
    std::unordered_map<std::string, OrganisationEntry> organisationByApiKey;
    std::map<std::string, Service> services;
    // Invariant: the routes of a host are in falling order of prefix length, so that the first that fits is the one.
    std::unordered_map<std::string, std::vector<Route>> routesByHost;
};

} // namespace magnolia::catalogue
