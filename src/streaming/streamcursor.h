// Position in the token stream of one request: decides which events are forwarded and where a stream resumes.
#pragma once

#include "framework/global/types/ids.h"
#include "streaming/types/streamevent.h"

#include <cstdint>
#include <string>

namespace magnolia::streaming
{

/** The way in which an event of the upstream is handled. */
enum class EventDisposition {
    /** The next token of this request: forward it. */
    Forward,
    /** A token that was already forwarded: drop it. */
    Repeated,
    /** The closing event: the answer is complete. */
    Done,
    /** Tokens are missing before this one: resume at `nextOffset`. */
    Gap,
    /** The event belongs to another request: drop the connection. */
    Foreign,
    /** The event has no valid offset: drop the connection. */
    Malformed,
    /** The event has no data, such as a keep-alive comment: drop it. */
    Ignored,
};

class StreamCursor
{
public:
    explicit StreamCursor(const RequestId &request);

    /** Classifies the event and advances past it if the result is Forward or Done. */
    [[nodiscard]] EventDisposition accept(const StreamEvent &event);

    /** Returns the offset of the next token, where the first token of the answer has offset 0. */
    [[nodiscard]] std::uint64_t nextOffset() const;
    /** Returns whether the closing event was accepted. */
    [[nodiscard]] bool isDone() const;

private:
    // The JSON member with the request id, exactly as the engine writes it.
    std::string m_requestIdMember;
    // Invariant: each token below m_nextOffset was forwarded exactly once, and no other token was.
    std::uint64_t m_nextOffset = 0;
    bool m_isDone = false;
};

} // namespace magnolia::streaming
