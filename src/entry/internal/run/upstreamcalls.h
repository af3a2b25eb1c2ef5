// Builds the upstream calls of a request.
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
    /** Id of the memory reservation that the completion uses; empty if there is none. */
    std::string reservation;
};

/** Returns the call for a completion from token `offset` on, always as a stream so that it can be resumed. */
[[nodiscard]] upstreams::UpstreamCall completionCall(
    const CallerRequest &request, const UpstreamChoice &choice, std::uint64_t offset, const CallContext &context);
/** Returns the call that resumes a stream at token `offset`, if the engine still holds the stream. */
[[nodiscard]] upstreams::UpstreamCall resumeCall(
    const CallerRequest &request, const UpstreamChoice &choice, std::uint64_t offset, const CallContext &context);
/** Returns the call of a plain service. */
[[nodiscard]] upstreams::UpstreamCall serviceCall(
    const CallerRequest &request, const UpstreamChoice &choice, const CallContext &context);
/** Returns the call that forwards the request to the instance that owns its idempotency key. */
[[nodiscard]] upstreams::UpstreamCall ownerCall(
    const CallerRequest &request, const std::string &address, const CallContext &context);

} // namespace magnolia::entry
