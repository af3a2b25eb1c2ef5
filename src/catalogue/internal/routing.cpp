// Lookups in a catalogue.
#include "catalogue/routing.h"

#include "framework/global/hashing.h"

#include <algorithm>

namespace magnolia::catalogue
{

void sortRoutes(Catalogue &catalogue)
{
    for (auto &[host, routes] : catalogue.routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route &a, const Route &b) {
            return a.prefix.size() > b.prefix.size();
        });
    }
}

const std::vector<Route> &routesOfHost(const Catalogue &catalogue, std::string_view host)
{
    static const std::vector<Route> none;
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    const auto it = catalogue.routesByHost.find(name);
    return it == catalogue.routesByHost.end() ? none : it->second;
}

const Route *findRoute(const Catalogue &catalogue, std::string_view host, std::string_view path)
{
    for (const Route &route : routesOfHost(catalogue, host)) {
        if (path.starts_with(route.prefix)) {
            return &route;
        }
    }
    return nullptr;
}

std::string_view extractApiKey(std::string_view authorization, std::string_view scheme)
{
    if (!authorization.starts_with(scheme) || authorization.size() <= scheme.size()
        || authorization[scheme.size()] != ' ') {
        return {};
    }
    authorization.remove_prefix(scheme.size());
    authorization.remove_prefix(std::min(authorization.find_first_not_of(' '), authorization.size()));
    return authorization;
}

const OrganisationEntry *findOrganisation(const Catalogue &catalogue, std::string_view key)
{
    const auto it = catalogue.organisationByApiKey.find(std::string(key));
    return it == catalogue.organisationByApiKey.end() ? nullptr : &it->second;
}

const Destination *chooseDestination(const Route &route, std::string_view requestId)
{
    double total = 0;
    for (const Destination &it : route.destinations) {
        total += std::max(it.weight, 0.0);
    }
    if (total <= 0) {
        return nullptr;
    }
    constexpr double range = 1U << 24U;
    double point = static_cast<double>(stableHash(requestId) % static_cast<std::uint64_t>(range)) / range * total;
    const Destination *chosen = nullptr;
    for (const Destination &it : route.destinations) {
        if (it.weight <= 0) {
            continue;
        }
        chosen = &it;
        point -= it.weight;
        if (point < 0) {
            break;
        }
    }
    return chosen;
}

} // namespace magnolia::catalogue
