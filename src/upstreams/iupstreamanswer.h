// An upstream's answer while it arrives.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::upstreams
{

/** How a wait for further bytes ended. */
enum class ReceiveState {
    /** Bytes have arrived. */
    Data,
    /** None arrived within the wait; the connection is still open. */
    Waiting,
    /** The answer is whole as far as its framing tells. */
    End,
    /** The connection broke, or the answer ended before its framing allows. */
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

    /** HTTP status; 0 while the head of the answer has not arrived. */
    [[nodiscard]] virtual int status() const = 0;
    /** Value of a header field, or empty; names compare without case. */
    [[nodiscard]] virtual std::string header(const std::string &name) const = 0;

    /** Waits for the head of the answer: Data once it is there, else Waiting or Broken. */
    [[nodiscard]] virtual ReceiveState awaitHead(Milliseconds wait) = 0;
    /** Waits for bytes of the body. */
    [[nodiscard]] virtual ReceiveResult receive(Milliseconds wait) = 0;
};

} // namespace magnolia::upstreams
