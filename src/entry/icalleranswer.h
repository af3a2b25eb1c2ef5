// Interface for writing the answer to one caller.
#pragma once

#include "framework/global/error.h"
#include "framework/global/types/ids.h"

#include <string>
#include <string_view>

namespace magnolia::entry
{

class ICallerAnswer
{
public:
    virtual ~ICallerAnswer() = default;

    /**
     * Sends bytes of an event stream without delay, preceded by the head of the answer on the first call. Returns false
     * if the caller has disconnected.
     */
    virtual bool writeStream(std::string_view bytes) = 0;
    /** Ends a stream that was forwarded completely. */
    virtual void finishStream() = 0;
    /** Sends a complete answer that is not a stream. */
    virtual void sendComplete(int status, const std::string &contentType, std::string_view body) = 0;
    /** Sends an error as the complete answer, or as the last event if a stream has started. */
    virtual void sendError(const Error &error, Outcome thisAttempt) = 0;

    /** Returns whether the caller has closed its connection. */
    [[nodiscard]] virtual bool isDisconnected() = 0;
};

} // namespace magnolia::entry
