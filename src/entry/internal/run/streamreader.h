// Reads a token stream from an upstream and passes it on.
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

/** How long waits last at the most before the caller and the time are looked at again. */
constexpr Milliseconds maxWait{200};

struct ReaderContext
{
    const IClock &clock;
    Milliseconds silenceTimeout;
    std::function<void()> onFirstToken;
};

/** Waits for the head of the answer: Whole once it is there, else why not. */
[[nodiscard]] AttemptEnd awaitHead(upstreams::IUpstreamAnswer &upstream, RunState &state, const ReaderContext &context);

/** Passes tokens on until the stream ends in one way or another. */
[[nodiscard]] AttemptEnd forwardStream(
    upstreams::IUpstreamAnswer &upstream, RunState &state, const ReaderContext &context);

/** Reads a whole body into `body`, at most `maxBytes`. */
[[nodiscard]] AttemptEnd readAnswerBody(upstreams::IUpstreamAnswer &upstream, RunState &state,
    const ReaderContext &context, std::size_t maxBytes, std::string &body);

} // namespace magnolia::entry
