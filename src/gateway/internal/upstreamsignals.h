// What an upstream states about itself in the head of an answer.
#pragma once

#include "framework/global/types/time.h"
#include "placement/types/placement.h"

#include <optional>

namespace magnolia::httpwire
{
struct ResponseHead;
}

namespace magnolia::gateway
{

struct GatewayContext;
struct WireNames;

struct UpstreamSignals
{
    /** The upstream takes no new requests and will end. */
    bool isLeaving = false;
    /** Time for which the upstream wants no request from this instance; set only if it has refused one. */
    std::optional<Milliseconds> pause;
};

[[nodiscard]] UpstreamSignals readUpstreamSignals(const httpwire::ResponseHead &head, const WireNames &names);

/** Records the signals of an answer and tells peers what is new. */
void recordUpstreamSignals(GatewayContext &context, placement::UpstreamKey upstream, const UpstreamSignals &signals);

} // namespace magnolia::gateway
