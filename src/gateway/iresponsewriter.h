// The caller's side of one request: where its answer goes.
#pragma once

#include "framework/httpwire/types/messagehead.h"

#include <string>
#include <string_view>

namespace magnolia::gateway
{

class ICallAnswer
{
public:
    virtual ~ICallAnswer() = default;

    /** A whole answer. */
    virtual void answer(httpwire::ResponseHead head, std::string_view body) = 0;
    /** Begins an answer that comes in pieces. */
    virtual void begin(httpwire::ResponseHead head) = 0;
    virtual void piece(std::string_view bytes) = 0;
    /** Ends the pieces, so that the answer looks complete. */
    virtual void end() = 0;
    /** Closes the connection, so that the answer looks broken off. */
    virtual void breakOff() = 0;
    /** Bytes that the caller has not taken yet. */
    [[nodiscard]] virtual std::size_t pendingBytes() const = 0;
};

} // namespace magnolia::gateway
