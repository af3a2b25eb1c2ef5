// Implements the rules of homes.
#include "catalogue/homes.h"

#include "catalogue/routing.h"

#include <algorithm>
#include <iterator>

namespace magnolia::catalogue
{

namespace
{

std::vector<RegionId> sorted(std::vector<RegionId> regions)
{
    std::sort(regions.begin(), regions.end());
    regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
    return regions;
}

std::vector<RegionId> intersection(const std::vector<RegionId> &a, const std::vector<RegionId> &b)
{
    std::vector<RegionId> both;
    std::set_intersection(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(both));
    return both;
}

bool contains(const std::vector<RegionId> &regions, const RegionId &region)
{
    return !region.isEmpty() && std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

Homes homesOf(const Route &route, const OrganisationEntry *organisation)
{
    const bool hasOrganisationHomes = organisation != nullptr && !organisation->homes.empty();
    if (route.homes.empty()) {
        return hasOrganisationHomes ? Homes{true, sorted(organisation->homes)} : Homes{};
    }
    if (!hasOrganisationHomes) {
        return {true, sorted(route.homes)};
    }
    return {true, intersection(sorted(route.homes), sorted(organisation->homes))};
}

RegionId regionOf(const RegionTable &table, const DataCentreId &dataCentre)
{
    const auto it = table.find(dataCentre);
    return it == table.end() ? RegionId() : it->second;
}

bool isHome(const Homes &homes, const RegionId &region)
{
    return contains(homes.regions, region);
}

bool mayRunIn(const Homes &homes, const RegionTable &table, const DataCentreId &dataCentre)
{
    return !homes.areLimited || isHome(homes, regionOf(table, dataCentre));
}

bool mayBeSentTo(
    const Homes &homes, const RegionTable &table, const DataCentreId &dataCentre, const RegionId &ownRegion)
{
    const RegionId region = regionOf(table, dataCentre);
    return !homes.areLimited || isHome(homes, region) || (!region.isEmpty() && region == ownRegion);
}

HostHomes homesOfHost(const Catalogue &catalogue, std::string_view host)
{
    HostHomes homes;
    for (const Route &route : routesOfHost(catalogue, host)) {
        if (route.homes.empty()) {
            continue;
        }
        const std::vector<RegionId> ofRoute = sorted(route.homes);
        homes.common = homes.areLimited ? intersection(homes.common, ofRoute) : ofRoute;
        homes.any.insert(homes.any.end(), ofRoute.begin(), ofRoute.end());
        homes.areLimited = true;
    }
    homes.any = sorted(std::move(homes.any));
    return homes;
}

std::string toString(const Homes &homes)
{
    std::string text;
    for (const RegionId &it : homes.regions) {
        text.append(text.empty() ? "" : ",").append(it.value());
    }
    return text;
}

} // namespace magnolia::catalogue
