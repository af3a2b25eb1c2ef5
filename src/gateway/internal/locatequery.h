// The question of a caller to the directory, and the regions in which it is served best.
#pragma once

#include "catalogue/homes.h"
#include "framework/global/types/ids.h"

#include <string>
#include <string_view>
#include <vector>

namespace magnolia::gateway
{

struct WirePaths;

struct LocateQuery
{
    /** Host of the requests that the caller will send; empty if the query does not name it. */
    std::string host;
    RegionId region;
    DataCentreId dataCentre;
};

/** Reads the query string of a directory request; missing and unreadable parameters are empty. */
[[nodiscard]] LocateQuery readLocateQuery(std::string_view query, const WirePaths &paths);

/**
 * Returns the sets of regions in which callers of a host with homes are directed, the best first: the caller's region
 * and the homes that all routes with homes share, then the caller's region and any home. A set is used if a ready
 * instance is in it. Returns nothing for a host without homes.
 */
[[nodiscard]] std::vector<std::vector<RegionId>> preferredRegions(
    const catalogue::HostHomes &homes, const LocateQuery &query, const catalogue::RegionTable &table);

} // namespace magnolia::gateway
