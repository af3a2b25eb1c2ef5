// Implements the splitting of a byte stream into server-sent events.
#include "streaming/eventsplitter.h"

#include <charconv>

namespace magnolia::streaming
{

namespace
{

constexpr std::string_view blankLine = "\n\n";
constexpr std::string_view idField = "id:";
constexpr std::string_view dataField = "data:";

std::string_view withoutLeadingSpace(std::string_view value)
{
    return value.starts_with(' ') ? value.substr(1) : value;
}

std::optional<std::uint64_t> parseOffset(std::string_view text)
{
    std::uint64_t offset = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), offset);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return offset;
}

StreamEvent parseEvent(std::string_view raw)
{
    StreamEvent event;
    event.raw = raw;
    std::string_view remaining = raw;
    while (!remaining.empty()) {
        const std::size_t end = remaining.find('\n');
        std::string_view line = remaining.substr(0, end);
        remaining.remove_prefix(end == std::string_view::npos ? remaining.size() : end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with(idField)) {
            event.idText = withoutLeadingSpace(line.substr(idField.size()));
            event.id = parseOffset(event.idText);
        } else if (line.starts_with(dataField) && event.data.empty()) {
            event.data = withoutLeadingSpace(line.substr(dataField.size()));
        }
    }
    return event;
}

} // namespace

void EventSplitter::feed(std::string_view bytes)
{
    if (m_begin > 0) {
        m_buffer.erase(0, m_begin);
        m_begin = 0;
    }
    m_buffer.append(bytes);
}

std::optional<StreamEvent> EventSplitter::next()
{
    if (isOverflowed()) {
        return std::nullopt;
    }
    const std::size_t end = m_buffer.find(blankLine, m_begin);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    const std::size_t size = end + blankLine.size() - m_begin;
    const std::string_view raw = std::string_view(m_buffer).substr(m_begin, size);
    m_begin += size;
    return parseEvent(raw);
}

bool EventSplitter::hasPartialEvent() const
{
    return m_begin < m_buffer.size();
}

bool EventSplitter::isOverflowed() const
{
    return m_buffer.size() - m_begin > maxEventSize.count();
}

} // namespace magnolia::streaming
