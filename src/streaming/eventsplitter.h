// Cuts the bytes of a server-sent event stream into events (WHATWG HTML, "Server-sent events").
#pragma once

#include "framework/global/types/bytes.h"
#include "streaming/types/streamevent.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::streaming
{

/** Holds back an event until its closing blank line has arrived, so that no part of one is ever passed on. */
class EventSplitter
{
public:
    /** An event larger than this marks the stream as malformed. */
    static constexpr Bytes maxEventSize{1024 * 1024};

    /** Adds received bytes. Events returned by `next` before are no longer valid. */
    void feed(std::string_view bytes);

    /** The next whole event, if there is one. */
    [[nodiscard]] std::optional<StreamEvent> next();

    /** Whether bytes of an unfinished event remain. */
    [[nodiscard]] bool hasPartialEvent() const;

    /** Whether an event grew beyond `maxEventSize`; nothing further is returned then. */
    [[nodiscard]] bool isOverflowed() const;

private:
    // Invariant: m_begin <= m_buffer.size(); bytes before m_begin have been returned.
    std::string m_buffer;
    std::size_t m_begin = 0;
};

} // namespace magnolia::streaming
