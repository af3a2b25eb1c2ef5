// Decides what happens to a request that arrives while this instance has no configuration.
//
// Answers the load of a fleet whose instances all start while the store is unavailable: callers with cached addresses
// come at once and have a single retry, which an early refusal would use up. It does no I/O: time and random numbers
// are passed in.
#pragma once

#include "framework/global/random.h"
#include "framework/global/types/bytes.h"
#include "framework/global/types/time.h"

#include <optional>

namespace magnolia::gateway
{

/**
 * Time after the start for which connections are left unread. Callers give up a request that is not read within one
 * second or a third of their time; the shortest published deadline is one second.
 */
inline constexpr Milliseconds startupUnreadTime{300};

enum class StartupAction {
    LeaveUnread,
    Hold,
    /** The request has not run, so that its caller may repeat it whatever its method is. */
    Refuse,
};

struct StartupRequest
{
    Milliseconds sinceStart{0};
    /** Whether the request has been read, so that its deadline is known. */
    bool isRead = true;
    /** Time since the first byte was read. */
    Milliseconds sinceRead{0};
    /** Time for which it may have waited unread before. */
    Milliseconds unreadTime{0};
    /** Time for which the caller waits for the response, from when it sent the request; empty if not stated. */
    std::optional<Milliseconds> deadline;
    /** Whether a peer has relayed it; the peer has other peers to ask. */
    bool isRelayed = false;
    Bytes size{0};
    /** Size of the requests that are held already, and of those that may be held. */
    Bytes heldSize{0};
    Bytes maxHeldSize{0};
};

struct StartupDecision
{
    StartupAction action = StartupAction::Refuse;
    /** Time to stay unread or to be held, or the Retry-After of the refusal. */
    Milliseconds time{0};
};

/**
 * Returns what to do with the request now. It is asked again when the time of Hold has passed; together the request is
 * held for at most a third of the time for which its caller surely waits after it has been read.
 */
[[nodiscard]] StartupDecision decideAtStartup(const StartupRequest &request, Random &random);

} // namespace magnolia::gateway
