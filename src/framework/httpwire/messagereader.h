// Reading of message heads and choice of body framing (RFC 9112), strict where two readers might disagree.
//
// Poco::Net reads heads from blocking streams and refuses field values over 8 KiB, less than callers may send; the
// event loop needs a reader that can wait for more bytes at any place.
#pragma once

#include "framework/httpwire/bodydecoder.h"
#include "framework/httpwire/types/messagehead.h"

#include <cstddef>
#include <optional>
#include <string>

namespace magnolia::httpwire
{

enum class ReadState {
    /** More bytes are needed. */
    Incomplete,
    Complete,
    Malformed,
    TooLarge,
};

/**
 * Takes a request head off the front of `input`. On any outcome but Complete nothing is consumed but empty lines before
 * the head, which are passed over (RFC 9112, section 2.2).
 */
[[nodiscard]] ReadState readRequestHead(std::string &input, std::size_t limit, RequestHead &head);
/** The same for a response head. */
[[nodiscard]] ReadState readResponseHead(std::string &input, std::size_t limit, ResponseHead &head);

/** How the body of a request is framed; empty where the head contradicts itself. */
[[nodiscard]] std::optional<BodyDecoder> requestBodyDecoder(const RequestHead &head);
/** How the body of the response to a request of `method` is framed; empty where the head contradicts itself. */
[[nodiscard]] std::optional<BodyDecoder> responseBodyDecoder(const ResponseHead &head, std::string_view method);

} // namespace magnolia::httpwire
