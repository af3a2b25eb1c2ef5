// Interface through which the response to one request is sent to its caller.
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

    /** Sends a complete response. */
    virtual void sendResponse(httpwire::ResponseHead head, std::string_view body) = 0;
    /** Starts a chunked response. */
    virtual void beginResponse(httpwire::ResponseHead head) = 0;
    virtual void sendChunk(std::string_view bytes) = 0;
    /** Ends a chunked response, so that the caller sees it as complete. */
    virtual void endResponse() = 0;
    /** Closes the connection without ending the response, so that the caller sees it as incomplete. */
    virtual void abortResponse() = 0;
    /** Number of bytes queued for the caller but not yet sent. */
    [[nodiscard]] virtual std::size_t pendingBytes() const = 0;
};

} // namespace magnolia::gateway
