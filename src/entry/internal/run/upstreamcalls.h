// The calls that a request makes of its upstreams.
#pragma once

#include "upstreams/types/upstreamcall.h"

#include "entry/types/callerrequest.h"
#include "entry/types/upstreamchoice.h"

#include <cstdint>
#include <string>

namespace magnolia::entry
{

struct CallContext
{
    std::string owner;
    Milliseconds timeLeft{0};
    Milliseconds silenceTimeout{5000};
    /** Reservation that the completion lives in; empty: none. */
    std::string reservation;
};

/** A completion from token `offset` on, always as a stream so that it can be resumed. */
[[nodiscard]] upstreams::UpstreamCall completionCall(
    const CallerRequest &request, const UpstreamChoice &choice, std::uint64_t offset, const CallContext &context);
/** The rest of a stream that the engine still holds. */
[[nodiscard]] upstreams::UpstreamCall resumeCall(
    const CallerRequest &request, const UpstreamChoice &choice, std::uint64_t offset, const CallContext &context);
[[nodiscard]] upstreams::UpstreamCall serviceCall(
    const CallerRequest &request, const UpstreamChoice &choice, const CallContext &context);
/** The whole request as the caller sent it, for the instance that owns its key. */
[[nodiscard]] upstreams::UpstreamCall ownerCall(
    const CallerRequest &request, const std::string &address, const CallContext &context);

} // namespace magnolia::entry
