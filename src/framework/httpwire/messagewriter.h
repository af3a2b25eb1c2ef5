// Serialisation of message heads and chunks.
#pragma once

#include "framework/httpwire/types/messagehead.h"

#include <string>
#include <string_view>

namespace magnolia::httpwire
{

[[nodiscard]] std::string writeRequestHead(const RequestHead &head);
[[nodiscard]] std::string writeResponseHead(const ResponseHead &head);
/** Returns `bytes` as one chunk of a chunked body; they must not be empty. */
[[nodiscard]] std::string writeChunk(std::string_view bytes);
/** Ends a chunked body. */
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

/** Returns the standard reason phrase of `status`; valid until the next call in the same thread. */
[[nodiscard]] std::string_view reasonPhrase(int status);

/** Whether a field applies to a single connection and is never forwarded (RFC 9110, section 7.6.1). */
[[nodiscard]] bool isHopByHop(std::string_view name, std::string_view connectionOptions);

} // namespace magnolia::httpwire
