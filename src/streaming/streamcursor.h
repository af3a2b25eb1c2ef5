// The position in one request's token stream: what may be passed on to its caller, and where to resume.
#pragma once

#include "framework/global/types/ids.h"
#include "streaming/types/streamevent.h"

#include <cstdint>
#include <string>

namespace magnolia::streaming
{

/** What to do with an event of the upstream. */
enum class EventDisposition {
    /** The next token of this request: pass it on. */
    Forward,
    /** A token that was passed on before: drop it. */
    Repeated,
    /** The closing event: the answer is whole. */
    Done,
    /** Tokens are missing before this one: resume from the cursor's offset. */
    Gap,
    /** The event belongs to another request: drop the connection. */
    Foreign,
    /** The event cannot be read: drop the connection. */
    Malformed,
    /** The event carries no token, such as a comment that keeps the connection open: drop it. */
    Ignored,
};

class StreamCursor
{
public:
    explicit StreamCursor(const RequestId &request);

    /** Judges the event and, where the verdict is Forward or Done, moves on past it. */
    [[nodiscard]] EventDisposition accept(const StreamEvent &event);

    /** Offset of the next token, counted from the first of the answer. */
    [[nodiscard]] std::uint64_t nextOffset() const;
    [[nodiscard]] bool isDone() const;

private:
    // The member of an event's JSON that names its request, as the engine writes it.
    std::string m_marker;
    // Invariant: every token below m_nextOffset was passed on exactly once, and none above it.
    std::uint64_t m_nextOffset = 0;
    bool m_isDone = false;
};

} // namespace magnolia::streaming
