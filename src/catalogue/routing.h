// Look-ups in a catalogue: the route of a request, its organisation, and the service that takes it.
#pragma once

#include "catalogue/types/catalogue.h"

#include <optional>
#include <string_view>

namespace magnolia::catalogue
{

/** Puts the routes of each host into the order that `findRoute` needs. */
void sortRoutes(Catalogue &catalogue);

/** The route with the longest prefix of `path` among those of `host`, whose port is ignored; null where there is none.
 */
[[nodiscard]] const Route *findRoute(const Catalogue &catalogue, std::string_view host, std::string_view path);

/** The key in a header of the form `SCHEME KEY`; empty where the scheme is another. */
[[nodiscard]] std::string_view extractApiKey(std::string_view authorization, std::string_view scheme);

[[nodiscard]] const OrganisationEntry *findOrganisation(const Catalogue &catalogue, std::string_view key);

/**
 * The destination of a request by its weights. The same `requestId` always gives the same one, so that a share of
 * requests goes to each service without any state. Null where no destination has a weight.
 */
[[nodiscard]] const Destination *chooseDestination(const Route &route, std::string_view requestId);

} // namespace magnolia::catalogue
