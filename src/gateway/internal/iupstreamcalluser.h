// What a call of an upstream tells the request that it serves.
#pragma once

#include "framework/httpwire/types/messagehead.h"

#include <string>
#include <string_view>

namespace magnolia::gateway
{

/** How a call ended without a whole answer. */
enum class CallFailure {
    /** No connection came about; the upstream has not seen the request. */
    NotConnected,
    /** A kept connection ended before any byte of an answer; the upstream may have seen the request. */
    Stale,
    /** The connection ended or broke in the answer, or before it on a fresh connection. */
    Broken,
    /** What came cannot be the answer. */
    Malformed,
};

class IUpstreamCallUser
{
public:
    virtual ~IUpstreamCallUser() = default;

    /** The head of the answer to this request. */
    virtual void onResponseHead(const httpwire::ResponseHead &head) = 0;
    virtual void onResponseBody(std::string_view bytes) = 0;
    /** The body is whole by its framing; `isFramed` is false where only the connection's end says so. */
    virtual void onResponseComplete(bool isFramed) = 0;
    /** At most once, and nothing after it. */
    virtual void onCallFailed(CallFailure failure, const std::string &detail) = 0;
};

} // namespace magnolia::gateway
