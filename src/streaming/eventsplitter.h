// Splits the bytes of a server-sent event stream into events (WHATWG HTML, "Server-sent events").
#pragma once

#include "framework/global/types/bytes.h"
#include "streaming/types/streamevent.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::streaming
{

/** Returns an event only once its closing blank line has arrived, so that no partial event is forwarded. */
class EventSplitter
{
public:
    /** Upper bound of the size of one event; a stream that exceeds it is malformed. */
    static constexpr Bytes maxEventSize{1024 * 1024};

    /** Appends received bytes. Invalidates the events that `next` returned before. */
    void feed(std::string_view bytes);

    /** Returns the next complete event, if there is one. */
    [[nodiscard]] std::optional<StreamEvent> next();

    /** Returns whether the buffer holds bytes of an incomplete event. */
    [[nodiscard]] bool hasPartialEvent() const;

    /** Returns whether an event exceeded `maxEventSize`; `next` returns no further events then. */
    [[nodiscard]] bool isOverflowed() const;

private:
    // Invariant: m_begin <= m_buffer.size(); the bytes before m_begin belong to returned events.
    std::string m_buffer;
    std::size_t m_begin = 0;
};

} // namespace magnolia::streaming
