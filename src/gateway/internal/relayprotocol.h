// Header fields by which instances relay requests to each other, beside those of the caller's request.
#pragma once

#include "framework/global/types/time.h"
#include "framework/httpwire/types/messagehead.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::gateway
{

/** All fields of the protocol begin with this; those of callers and upstreams are not passed on. */
inline constexpr std::string_view relayFieldPrefix = "Magnolia-Relay-";
/** Instance that relays the request. */
inline constexpr std::string_view relayFromField = "Magnolia-Relay-From";
/** Time in milliseconds since the relaying instance has received the request. */
inline constexpr std::string_view relayElapsedField = "Magnolia-Relay-Elapsed-Ms";
/** Number of upstreams on which the request may run at the peer. */
inline constexpr std::string_view relayMaxUpstreamsField = "Magnolia-Relay-Max-Upstreams";
/** In a refusal: why the request has not run and will not run at the peer. */
inline constexpr std::string_view relayNotRunField = "Magnolia-Relay-Not-Run";
/** In a refusal: how often the peer has sent the request to upstreams, which all refused it. */
inline constexpr std::string_view relaySendsField = "Magnolia-Relay-Sends";
/** In an answer of an upstream: the id of that upstream. */
inline constexpr std::string_view relayUpstreamField = "Magnolia-Relay-Upstream";

/** What the relaying instance states about a request. */
struct RelayOrigin
{
    std::string instance;
    Milliseconds elapsed{0};
    int maxUpstreams = 1;
};

/** Whether a field belongs to this protocol. */
[[nodiscard]] bool isRelayField(std::string_view name);

/** Removes the fields of this protocol from a request; returns nothing if it was not relayed. */
[[nodiscard]] std::optional<RelayOrigin> takeRelayOrigin(httpwire::RequestHead &head);

/** Whether a refusal with this reason holds for the whole fleet, so that another peer would refuse as well. */
[[nodiscard]] bool isFinalRefusal(std::string_view reason);

} // namespace magnolia::gateway
