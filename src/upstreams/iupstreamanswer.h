// An answer that is being received from an upstream.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::upstreams
{

/** Result of a wait for more bytes. */
enum class ReceiveState {
    /** Bytes have arrived. */
    Data,
    /** No bytes arrived within the wait; the connection is still open. */
    Waiting,
    /** The answer is complete according to its framing. */
    End,
    /** The connection failed, or it ended before the answer was complete. */
    Broken,
};

struct ReceiveResult
{
    ReceiveState state = ReceiveState::Broken;
    /** Valid until the next call. */
    std::string_view bytes;
};

class IUpstreamAnswer
{
public:
    virtual ~IUpstreamAnswer() = default;

    /** HTTP status; 0 until the answer's head has arrived. */
    [[nodiscard]] virtual int status() const = 0;
    /** Value of a header field, or an empty string. Names are case-insensitive. */
    [[nodiscard]] virtual std::string header(const std::string &name) const = 0;

    /** Waits for the status line and header fields. Returns Data once they have arrived, else Waiting or Broken. */
    [[nodiscard]] virtual ReceiveState awaitHead(Milliseconds wait) = 0;
    /** Waits for bytes of the body. */
    [[nodiscard]] virtual ReceiveResult receive(Milliseconds wait) = 0;
};

} // namespace magnolia::upstreams
