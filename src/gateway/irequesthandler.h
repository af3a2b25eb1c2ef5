// Interface that a listener calls for each request it has read.
#pragma once

#include "framework/global/types/time.h"
#include "framework/httpwire/types/messagehead.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::gateway
{

class IResponseWriter;

/** A request that is being processed. It is cancelled or destroyed when the caller no longer waits for it. */
class IActiveRequest
{
public:
    virtual ~IActiveRequest() = default;

    /** Called when the caller has closed its connection. */
    virtual void cancel() = 0;
    /** Called when this instance has found that it can reach no upstream. */
    virtual void onPartitioned()
    {
    }
    /** Called shortly before the process ends: the request gets its final answer now. */
    virtual void onProcessEnding()
    {
    }
    /** Called when queued response bytes have been sent to the caller. */
    virtual void onDrained()
    {
    }
    /** Time after which the caller stops waiting for the next part of the response. */
    [[nodiscard]] virtual Milliseconds waitLimit() const
    {
        return Milliseconds(4000);
    }
};

struct ReadLimits
{
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 4'194'304;
    Milliseconds headerTimeout{3000};
    Milliseconds idleTimeout{15'000};
};

class IRequestHandler
{
public:
    virtual ~IRequestHandler() = default;

    /** Responds at once and returns null, or returns the request that will respond later. `responseWriter` outlives
     * the returned request. */
    [[nodiscard]] virtual std::shared_ptr<IActiveRequest> handle(
        httpwire::RequestHead head, std::string body, MonoTime receivedAt, IResponseWriter &responseWriter)
        = 0;
    [[nodiscard]] virtual ReadLimits limits() const = 0;
    /** Returns the time for which the caller waits for the response, if the head states it. */
    [[nodiscard]] virtual std::optional<Milliseconds> deadlineOf(const httpwire::RequestHead & /*head*/) const
    {
        return std::nullopt;
    }
    /** Refuses a request whose body has not been read; responds at once. `reason` goes into the log. */
    virtual void refuseUnread(const httpwire::RequestHead & /*head*/, std::string_view /*reason*/,
        Milliseconds /*retryAfter*/, IResponseWriter &responseWriter);
    /** Whether each connection is closed after its current response. */
    [[nodiscard]] virtual bool isClosing() const = 0;
};

} // namespace magnolia::gateway
