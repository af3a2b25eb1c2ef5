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
struct KnownUpstream;
struct WireNames;

struct UpstreamSignals
{
    /** The upstream takes no new requests and will end. */
    bool isLeaving = false;
    /** Time for which the upstream wants no request from this instance; set only if it has refused one. */
    std::optional<Milliseconds> pause;
    /** Time for which the upstream stays cold. */
    Milliseconds coldRemaining{0};
    /** Whether the answer tells about the limit: it names one, or is a success without one, so that it has ended. */
    bool hasLimitStatement = false;
    /** Requests per second that the upstream takes of all instances together. */
    std::optional<double> requestsPerSecond;
};

[[nodiscard]] UpstreamSignals readUpstreamSignals(const httpwire::ResponseHead &head, const WireNames &names);

/** Records the signals of an answer and tells peers what is new. */
void recordUpstreamSignals(GatewayContext &context, placement::UpstreamKey upstream, const UpstreamSignals &signals);

/** Counts a request of this instance or of a peer against the limit of its upstream. */
void countRequest(GatewayContext &context, placement::UpstreamKey upstream);

/** Returns the time from which an upstream takes the next request; now if it takes one now. */
[[nodiscard]] MonoTime upstreamAvailableAt(const GatewayContext &context, const KnownUpstream &upstream);

} // namespace magnolia::gateway
