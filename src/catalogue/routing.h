// Lookups in a catalogue: route, organisation and destination service of a request.
#pragma once

#include "catalogue/types/catalogue.h"

#include <optional>
#include <string_view>
#include <vector>

namespace magnolia::catalogue
{

/** Sorts the routes of each host by descending prefix length, as `findRoute` requires. */
void sortRoutes(Catalogue &catalogue);

/** Returns the routes of `host`. A port in `host` and the case of its letters are ignored. */
[[nodiscard]] const std::vector<Route> &routesOfHost(const Catalogue &catalogue, std::string_view host);

/** Returns the route of `host` with the longest prefix of `path`, or null. A port in `host` is ignored. */
[[nodiscard]] const Route *findRoute(const Catalogue &catalogue, std::string_view host, std::string_view path);

/** Returns the key of an authorization header `SCHEME KEY`, or an empty view if the scheme differs. */
[[nodiscard]] std::string_view extractApiKey(std::string_view authorization, std::string_view scheme);

/** Returns the organisation that owns the API key, or null if the key is unknown. */
[[nodiscard]] const OrganisationEntry *findOrganisation(const Catalogue &catalogue, std::string_view key);

/**
 * Chooses a destination in proportion to the weights by hashing `requestId`, so the same id always gets the same
 * destination and no state is needed. Returns null if no destination has a positive weight.
 */
[[nodiscard]] const Destination *chooseDestination(const Route &route, std::string_view requestId);

} // namespace magnolia::catalogue
