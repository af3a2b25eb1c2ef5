// Homes of requests: the regions whose upstreams may run them, as the configuration states for routes and
// organisations.
#pragma once

#include "catalogue/types/catalogue.h"
#include "framework/global/types/ids.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::catalogue
{

/** The homes of a request. */
struct Homes
{
    /** Whether the route or the organisation has homes; otherwise all upstreams may run the request. */
    bool areLimited = false;
    /** The homes in order of their names; empty if route and organisation have none in common. */
    std::vector<RegionId> regions;
};

/** Regions of the data centres by their names; a data centre that is not listed has no region. */
using RegionTable = std::map<DataCentreId, RegionId>;

/** The homes of a host's routes, by which the directory chooses instances. */
struct HostHomes
{
    /** Whether any of the routes has homes. */
    bool areLimited = false;
    /** Homes that all routes with homes have in common. */
    std::vector<RegionId> common;
    /** Homes of any of the routes. */
    std::vector<RegionId> any;
};

/** Returns the homes of a request; those of the route and of the organisation both bind. */
[[nodiscard]] Homes homesOf(const Route &route, const OrganisationEntry *organisation);

/** Returns the region of a data centre; empty if it is not listed. */
[[nodiscard]] RegionId regionOf(const RegionTable &table, const DataCentreId &dataCentre);

/** Whether a region is a home. An empty region, which is that of a data centre without one, never is. */
[[nodiscard]] bool isHome(const Homes &homes, const RegionId &region);

/** Whether an upstream in the data centre may run a request with these homes. */
[[nodiscard]] bool mayRunIn(const Homes &homes, const RegionTable &table, const DataCentreId &dataCentre);

/**
 * Whether the body of a request may be sent to an instance in the data centre: one in a home or in `ownRegion`, the
 * region of the sending instance.
 */
[[nodiscard]] bool mayBeSentTo(
    const Homes &homes, const RegionTable &table, const DataCentreId &dataCentre, const RegionId &ownRegion);

/** Returns the homes of all routes of a host. A port in `host` is ignored. */
[[nodiscard]] HostHomes homesOfHost(const Catalogue &catalogue, std::string_view host);

/** Returns the names of the homes, separated by commas; for logs. */
[[nodiscard]] std::string toString(const Homes &homes);

} // namespace magnolia::catalogue
