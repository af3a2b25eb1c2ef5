// The answer to one caller, as the request's runner writes it.
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
     * Sends bytes of an event stream at once, and the head of the answer before the first of them; false where the
     * caller is gone.
     */
    virtual bool writeStream(std::string_view bytes) = 0;
    /** Ends a stream that was passed on whole. */
    virtual void finishStream() = 0;
    /** Sends a whole answer. */
    virtual void sendComplete(int status, const std::string &contentType, std::string_view body) = 0;
    /** Sends an error: as the whole answer, or as the last event of a stream that has begun. */
    virtual void sendError(const Error &error, Outcome thisAttempt) = 0;

    /** Whether the caller has closed its connection. */
    [[nodiscard]] virtual bool isDisconnected() = 0;
};

} // namespace magnolia::entry
