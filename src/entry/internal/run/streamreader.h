// Reads answers from an upstream and forwards token streams to the caller.
#pragma once

#include "entry/types/attemptend.h"
#include "framework/global/iclock.h"
#include "framework/global/types/time.h"

#include <functional>

namespace magnolia::upstreams
{
class IUpstreamAnswer;
}

namespace magnolia::entry
{

struct RunState;

/** Longest wait before the connection of the caller and the deadline are checked again. */
constexpr Milliseconds maxWait{200};

struct ReaderContext
{
    const IClock &clock;
    Milliseconds silenceTimeout;
    std::function<void()> onFirstToken;
};

/** Waits for the head of the answer. Returns Whole when it has arrived, else why the attempt ended. */
[[nodiscard]] AttemptEnd awaitHead(upstreams::IUpstreamAnswer &upstream, RunState &state, const ReaderContext &context);

/** Forwards tokens to the caller until the stream is complete or the attempt fails. */
[[nodiscard]] AttemptEnd forwardStream(
    upstreams::IUpstreamAnswer &upstream, RunState &state, const ReaderContext &context);

/** Reads the complete body into `body`. Returns WrongAnswer if it is larger than `maxBytes`. */
[[nodiscard]] AttemptEnd readAnswerBody(upstreams::IUpstreamAnswer &upstream, RunState &state,
    const ReaderContext &context, std::size_t maxBytes, std::string &body);

} // namespace magnolia::entry
