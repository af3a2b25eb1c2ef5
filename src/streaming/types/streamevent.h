// A server-sent event, as views into the receive buffer.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace magnolia::streaming
{

/** The views point into the buffer of the splitter and are valid until the next call of EventSplitter::feed. */
struct StreamEvent
{
    /** The complete event including its closing blank line, to be forwarded unchanged. */
    std::string_view raw;
    /** Value of the first `data:` line. */
    std::string_view data;
    /** The id as the offset of a token; empty if the line is missing or no number of at most 64 bits. */
    std::optional<std::uint64_t> id;
    /** Value of the `id:` line; empty if the line is missing. */
    std::string_view idText{};
};

} // namespace magnolia::streaming
