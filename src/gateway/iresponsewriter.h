// The caller's side of one request: where its answer goes.
#pragma once

#include "framework/httpwire/types/messagehead.h"

#include <string>
#include <string_view>

namespace magnolia::gateway
{

class IResponseWriter
{
public:
    virtual ~IResponseWriter() = default;

    /** A whole answer. */
    virtual void sendResponse(httpwire::ResponseHead head, std::string_view body) = 0;
    /** Begins an answer that comes in pieces. */
    virtual void beginResponse(httpwire::ResponseHead head) = 0;
    virtual void sendChunk(std::string_view bytes) = 0;
    /** Ends the pieces, so that the answer looks complete. */
    virtual void endResponse() = 0;
    /** Closes the connection, so that the answer looks broken off. */
    virtual void abortResponse() = 0;
    /** Bytes that the caller has not taken yet. */
    [[nodiscard]] virtual std::size_t pendingBytes() const = 0;
};

} // namespace magnolia::gateway
