// What a listener calls for each request that it has read.
#pragma once

#include "framework/global/types/time.h"
#include "framework/httpwire/types/messagehead.h"

#include <cstddef>
#include <memory>
#include <string>

namespace magnolia::gateway
{

class ICallAnswer;

/** A request under way; destroyed or cancelled when nobody waits for it any more. */
class ICall
{
public:
    virtual ~ICall() = default;

    /** The caller has gone. */
    virtual void cancel() = 0;
    /** The caller has taken bytes that were pending. */
    virtual void onDrained()
    {
    }
};

struct ReadLimits
{
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 4'194'304;
    Milliseconds headerTimeout{3000};
    Milliseconds idleTimeout{15'000};
};

class ICallHandler
{
public:
    virtual ~ICallHandler() = default;

    /** Answers now, or returns the call that will; `answer` outlives the call. */
    [[nodiscard]] virtual std::shared_ptr<ICall> handle(
        httpwire::RequestHead head, std::string body, MonoTime receivedAt, ICallAnswer &answer)
        = 0;
    [[nodiscard]] virtual ReadLimits limits() const = 0;
    /** Whether callers should use another connection for their next request. */
    [[nodiscard]] virtual bool isClosing() const = 0;
};

} // namespace magnolia::gateway
