// Implements the cursor of a token stream.
#include "streaming/streamcursor.h"

namespace magnolia::streaming
{

namespace
{

constexpr std::string_view doneMarker = "[DONE]";

} // namespace

StreamCursor::StreamCursor(const RequestId &request)
    : m_requestIdMember("\"request_id\":\"" + request.value() + '"')
{
}

EventDisposition StreamCursor::accept(const StreamEvent &event)
{
    if (event.data == doneMarker) {
        m_isDone = true;
        return EventDisposition::Done;
    }
    if (event.data.empty()) {
        return EventDisposition::Ignored;
    }
    if (event.data.find(m_requestIdMember) == std::string_view::npos) {
        return EventDisposition::Foreign;
    }
    if (!event.id) {
        return EventDisposition::Malformed;
    }
    if (*event.id < m_nextOffset) {
        return EventDisposition::Repeated;
    }
    if (*event.id > m_nextOffset) {
        return EventDisposition::Gap;
    }
    ++m_nextOffset;
    return EventDisposition::Forward;
}

std::uint64_t StreamCursor::nextOffset() const
{
    return m_nextOffset;
}

bool StreamCursor::isDone() const
{
    return m_isDone;
}

} // namespace magnolia::streaming
