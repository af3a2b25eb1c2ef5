// Reads the header fields of relayed requests.
#include "gateway/internal/relayprotocol.h"

#include "gateway/internal/exchangelimits.h"

#include <algorithm>
#include <array>

namespace magnolia::gateway
{

namespace
{

constexpr double maxElapsedMs = 3'600'000;
constexpr double maxUpstreams = 100;
/** Refusals that rest on what all instances know: load, limits and quarantines. */
constexpr std::array<std::string_view, 5> finalReasons{"crowded", "too_late", "too_large", "paused", "quarantined"};

} // namespace

bool isRelayField(std::string_view name)
{
    return name.size() >= relayFieldPrefix.size()
        && httpwire::isSameFieldName(name.substr(0, relayFieldPrefix.size()), relayFieldPrefix);
}

std::optional<RelayOrigin> takeRelayOrigin(httpwire::RequestHead &head)
{
    RelayOrigin origin;
    origin.instance = head.fields.value(relayFromField);
    const double elapsed = std::min(readNumber(head.fields.value(relayElapsedField)), maxElapsedMs);
    origin.elapsed = Milliseconds(static_cast<std::int64_t>(elapsed));
    const double upstreams = std::clamp(readNumber(head.fields.value(relayMaxUpstreamsField)), 1.0, maxUpstreams);
    origin.maxUpstreams = static_cast<int>(upstreams);
    std::erase_if(head.fields.entries, [](const auto &it) {
        return isRelayField(it.first);
    });
    return origin.instance.empty() ? std::nullopt : std::optional(origin);
}

bool isFinalRefusal(std::string_view reason)
{
    return std::find(finalReasons.begin(), finalReasons.end(), reason) != finalReasons.end();
}

} // namespace magnolia::gateway
