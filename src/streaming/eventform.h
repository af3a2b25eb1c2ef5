// Tells events that are pieces of an answer from other bytes that an upstream may write into a stream.
#pragma once

#include <string_view>

namespace magnolia::streaming
{

enum class EventForm {
    /** A numeric id and data: a piece of an answer. */
    Piece,
    /** Comments, reconnection times and blank lines, which are no part of an answer. */
    Empty,
    /** Lines that are no fields, a blank line between fields, no id, more than one, or no data. */
    Malformed,
};

/** Returns the form of an event with its closing blank line. Lines may end in LF or CRLF. */
[[nodiscard]] EventForm eventForm(std::string_view raw);

} // namespace magnolia::streaming
