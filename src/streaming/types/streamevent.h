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
    /** Value of the `id:` line, which is the offset of the token; empty if the line is missing or not a number. */
    std::optional<std::uint64_t> id;
};

} // namespace magnolia::streaming
