// Decides whether the body of a request is read now, later or not at all.
//
// Answers the load of many large bodies at once. Memory for a whole body is set aside before it is read: bodies that
// are read in part could fill the memory without any of them becoming complete. A body that has to wait stays with its
// sender, by the flow control of TCP. It does no I/O: the account and the time are passed in.
#pragma once

#include "memory/memorylimits.h"

#include "framework/global/types/bytes.h"
#include "framework/global/types/time.h"

#include <optional>

namespace magnolia::memory
{

/** Bodies up to this size are read at once: they have mostly arrived together with the head. */
inline constexpr Bytes smallBody{16U * 1024};

enum class BodyAction {
    Read,
    Wait,
    /** The request has not begun. */
    Refuse,
};

struct BodyRequest
{
    /** Size of the body, or the greatest permitted size if it is not stated. */
    Bytes size;
    /** Time for which its caller waits for the response; empty if not stated. */
    std::optional<Milliseconds> deadline;
    /** Time for which it has waited already. */
    Milliseconds waited{0};
    /** Sizes of the bodies that have waited for longer. */
    Bytes ahead;
    Bytes held;
    /** Bytes per second that become free. */
    double releaseRate = 0;
};

struct BodyDecision
{
    BodyAction action = BodyAction::Read;
    /** Time after which to ask again, or the Retry-After of the refusal. */
    Milliseconds time{0};
};

[[nodiscard]] BodyDecision decideBody(const MemoryLimits &limits, const BodyRequest &request);

} // namespace magnolia::memory
