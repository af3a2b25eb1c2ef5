// Interface through which an upstream call reports to its owner.
#pragma once

#include "framework/httpwire/types/messagehead.h"

#include <string>
#include <string_view>

namespace magnolia::gateway
{

/** Reason why a call ended without a complete response. */
enum class CallFailure {
    /** No connection was established; the upstream has not received the request. */
    NotConnected,
    /** The request must not be sent any more; nothing of it was sent. */
    Withdrawn,
    /** A reused connection ended before any byte of a response; the upstream may have received the request. */
    Stale,
    /** A new connection ended as soon as it was established; the upstream may have received the request. */
    ClosedOnConnect,
    /** The connection ended during the response, or before it on a new connection. */
    Broken,
    /** The received bytes are not a valid response. */
    Malformed,
    /** This instance gave the attempt up because its upstream was silent. */
    Abandoned,
};

class IUpstreamCallListener
{
public:
    virtual ~IUpstreamCallListener() = default;

    /** A new connection was established and has not ended at once; not called for a pooled one. */
    virtual void onCallConnected()
    {
    }
    /** The head of the response to this request has arrived. */
    virtual void onResponseHead(const httpwire::ResponseHead &head) = 0;
    /** The head of a response has arrived that does not belong to this request, for example of one without an id. */
    virtual void onOtherResponseHead(const httpwire::ResponseHead & /*head*/)
    {
    }
    virtual void onResponseBody(std::string_view bytes) = 0;
    /** The response is complete: by its framing, or by the regular end of its connection if it has none. */
    virtual void onResponseComplete() = 0;
    /** Called at most once, and no other call follows. */
    virtual void onCallFailed(CallFailure failure, const std::string &detail) = 0;
};

} // namespace magnolia::gateway
