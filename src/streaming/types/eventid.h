// Id of an event in a stream.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::streaming
{

/**
 * A decimal number of any size, kept as the text that was received: upstreams count from any number, and some use time
 * stamps that no floating-point number holds.
 */
class EventId
{
public:
    /** An id is sent to upstreams in a header field. */
    static constexpr std::size_t maxDigits = 256;

    /** Returns no id unless `text` consists of 1 to `maxDigits` digits. */
    [[nodiscard]] static std::optional<EventId> parse(std::string_view text);

    [[nodiscard]] const std::string &text() const;
    /** Returns the id as a number if it has at most 64 bits. */
    [[nodiscard]] std::optional<std::uint64_t> number() const;

    /** Compares the numbers; leading zeros do not matter. */
    [[nodiscard]] std::strong_ordering operator<=>(const EventId &other) const;
    [[nodiscard]] bool operator==(const EventId &other) const;

private:
    explicit EventId(std::string_view text);
    [[nodiscard]] std::string_view significantDigits() const;

    // Invariant: 1 to `maxDigits` characters, all of them digits.
    std::string m_text;
};

} // namespace magnolia::streaming
