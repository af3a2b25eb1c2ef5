// Writing of message heads, chunks and whole small answers.
#pragma once

#include "framework/httpwire/types/messagehead.h"

#include <string>
#include <string_view>

namespace magnolia::httpwire
{

[[nodiscard]] std::string writeRequestHead(const RequestHead &head);
[[nodiscard]] std::string writeResponseHead(const ResponseHead &head);
/** One chunk of a chunked body; `bytes` must not be empty. */
[[nodiscard]] std::string writeChunk(std::string_view bytes);
/** What ends a chunked body. */
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

/** The customary reason phrase of `status`. */
[[nodiscard]] std::string_view reasonPhrase(int status);

/** Whether a field concerns only one connection and is never passed on (RFC 9110, section 7.6.1). */
[[nodiscard]] bool isHopByHop(std::string_view name, std::string_view connectionOptions);

} // namespace magnolia::httpwire
