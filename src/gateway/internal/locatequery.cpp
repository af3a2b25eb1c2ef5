// Reads directory requests.
#include "gateway/internal/locatequery.h"

#include "gateway/types/wirenames.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <algorithm>
#include <cstddef>

namespace magnolia::gateway
{

LocateQuery readLocateQuery(std::string_view query, const WirePaths &paths)
{
    LocateQuery result;
    while (!query.empty()) {
        const std::string_view parameter = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), parameter.size() + 1));
        const std::size_t equals = parameter.find('=');
        if (equals == std::string_view::npos) {
            continue;
        }
        const std::string_view name = parameter.substr(0, equals);
        std::string value;
        try {
            Poco::URI::decode(std::string(parameter.substr(equals + 1)), value, true);
        } catch (const Poco::Exception &) {
            continue;
        }
        if (name == paths.locateHost) {
            result.host = value;
        } else if (name == paths.locateRegion) {
            result.region = RegionId(value);
        } else if (name == paths.locateDataCentre) {
            result.dataCentre = DataCentreId(value);
        }
    }
    return result;
}

std::vector<std::vector<RegionId>> preferredRegions(
    const catalogue::HostHomes &homes, const LocateQuery &query, const catalogue::RegionTable &table)
{
    if (!homes.areLimited) {
        return {};
    }
    std::vector<std::vector<RegionId>> sets{homes.common, homes.any};
    const RegionId region = query.region.isEmpty() ? catalogue::regionOf(table, query.dataCentre) : query.region;
    if (!region.isEmpty()) {
        for (std::vector<RegionId> &it : sets) {
            it.push_back(region);
        }
    }
    return sets;
}

} // namespace magnolia::gateway
