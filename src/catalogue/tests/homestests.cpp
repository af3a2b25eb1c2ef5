// Tests of the rules of homes, with three regions.
#include "catalogue/homes.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::catalogue;

namespace
{

const RegionId eu("eu");
const RegionId us("us");
const RegionId ap("ap");
const RegionTable table{
    {DataCentreId("eu-1"), eu}, {DataCentreId("eu-2"), eu}, {DataCentreId("us-1"), us}, {DataCentreId("ap-1"), ap}};

Route routeWith(std::vector<RegionId> homes)
{
    Route route;
    route.homes = std::move(homes);
    return route;
}

OrganisationEntry organisationWith(std::vector<RegionId> homes)
{
    OrganisationEntry entry;
    entry.homes = std::move(homes);
    return entry;
}

} // namespace

TEST_CASE("a request without homes may run everywhere")
{
    const OrganisationEntry organisation = organisationWith({});
    for (const OrganisationEntry *const it : {static_cast<const OrganisationEntry *>(nullptr), &organisation}) {
        const Homes homes = homesOf(routeWith({}), it);
        CHECK_FALSE(homes.areLimited);
        for (const char *const dataCentre : {"eu-1", "us-1", "ap-1", "unknown"}) {
            CHECK(mayRunIn(homes, table, DataCentreId(dataCentre)));
            CHECK(mayBeSentTo(homes, table, DataCentreId(dataCentre), RegionId()));
        }
        CHECK(mayRunIn(homes, {}, DataCentreId("eu-1")));
    }
}

TEST_CASE("the homes of the route and of the organisation both bind")
{
    const OrganisationEntry european = organisationWith({us, eu});
    CHECK(homesOf(routeWith({eu}), nullptr).regions == std::vector<RegionId>{eu});
    CHECK(homesOf(routeWith({}), &european).regions == std::vector<RegionId>{eu, us});
    CHECK(homesOf(routeWith({ap, eu, eu}), &european).regions == std::vector<RegionId>{eu});
    const Homes none = homesOf(routeWith({ap}), &european);
    CHECK(none.areLimited);
    for (const auto &[dataCentre, region] : table) {
        CHECK_FALSE(mayRunIn(none, table, dataCentre));
    }
}

TEST_CASE("a data centre without a region is no home")
{
    const Homes homes = homesOf(routeWith({eu}), nullptr);
    CHECK(mayRunIn(homes, table, DataCentreId("eu-2")));
    CHECK_FALSE(mayRunIn(homes, table, DataCentreId("us-1")));
    CHECK_FALSE(mayRunIn(homes, table, DataCentreId("unknown")));
    CHECK_FALSE(mayRunIn(homes, {}, DataCentreId("eu-1")));
    CHECK_FALSE(mayRunIn(homesOf(routeWith({RegionId()}), nullptr), table, DataCentreId("unknown")));
}

TEST_CASE("a body is sent to no instance outside the homes and the own region")
{
    const Homes homes = homesOf(routeWith({eu}), nullptr);
    CHECK(mayBeSentTo(homes, table, DataCentreId("eu-1"), us));
    CHECK(mayBeSentTo(homes, table, DataCentreId("us-1"), us));
    CHECK_FALSE(mayBeSentTo(homes, table, DataCentreId("ap-1"), us));
    CHECK_FALSE(mayBeSentTo(homes, table, DataCentreId("unknown"), us));
    CHECK_FALSE(mayBeSentTo(homes, table, DataCentreId("unknown"), RegionId()));
}

TEST_CASE("the homes of a host are those of its routes with homes")
{
    Catalogue catalogue;
    catalogue.routesByHost["h"] = {routeWith({eu, us}), routeWith({}), routeWith({us, ap})};
    catalogue.routesByHost["free"] = {routeWith({})};
    const HostHomes homes = homesOfHost(catalogue, "H:8080");
    CHECK(homes.areLimited);
    CHECK(homes.common == std::vector<RegionId>{us});
    CHECK(homes.any == std::vector<RegionId>{ap, eu, us});
    CHECK_FALSE(homesOfHost(catalogue, "free").areLimited);
    CHECK_FALSE(homesOfHost(catalogue, "unknown").areLimited);
}
