// Parsing of message heads and selection of the body framing (RFC 9112), strict where two parsers might disagree.
//
// Poco::Net reads heads from blocking streams and rejects field values over 8 KiB, less than callers may send. The
// event loop needs a parser that can wait for more bytes at any position.
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
 * Parses a request head at the start of `input` and removes it. Unless the result is Complete, nothing is consumed
 * except empty lines before the head, which are skipped (RFC 9112, section 2.2). `limit` is the maximum size in bytes.
 */
[[nodiscard]] ReadState readRequestHead(std::string &input, std::size_t limit, RequestHead &head);
/** The same for a response head. */
[[nodiscard]] ReadState readResponseHead(std::string &input, std::size_t limit, ResponseHead &head);

/** Returns a decoder for the body of a request; empty if the framing fields are malformed or contradictory. */
[[nodiscard]] std::optional<BodyDecoder> requestBodyDecoder(const RequestHead &head);
/** The same for the body of the response to a request with `method`. */
[[nodiscard]] std::optional<BodyDecoder> responseBodyDecoder(const ResponseHead &head, std::string_view method);

} // namespace magnolia::httpwire
