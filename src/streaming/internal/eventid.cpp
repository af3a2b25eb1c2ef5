// Parses and compares ids of events.
#include "streaming/types/eventid.h"

#include <algorithm>
#include <charconv>

namespace magnolia::streaming
{

std::optional<EventId> EventId::parse(std::string_view text)
{
    const bool isNumber = std::all_of(text.begin(), text.end(), [](char c) {
        return c >= '0' && c <= '9';
    });
    return isNumber && !text.empty() && text.size() <= maxDigits ? std::optional(EventId(text)) : std::nullopt;
}

EventId::EventId(std::string_view text)
    : m_text(text)
{
}

const std::string &EventId::text() const
{
    return m_text;
}

std::optional<std::uint64_t> EventId::number() const
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(m_text.data(), m_text.data() + m_text.size(), n);
    return ec == std::errc() ? std::optional(n) : std::nullopt;
}

std::string_view EventId::significantDigits() const
{
    const std::string_view digits(m_text);
    return digits.substr(std::min(digits.find_first_not_of('0'), digits.size()));
}

std::strong_ordering EventId::operator<=>(const EventId &other) const
{
    const std::string_view own = significantDigits();
    const std::string_view others = other.significantDigits();
    return own.size() != others.size() ? own.size() <=> others.size() : own <=> others;
}

bool EventId::operator==(const EventId &other) const
{
    return (*this <=> other) == std::strong_ordering::equal;
}

} // namespace magnolia::streaming
