// Reasons for which a datagram or snapshot of a peer is not used.
#pragma once

#include <string_view>

namespace magnolia::fleet
{

enum class RejectReason {
    /** A format or a range of versions that this build does not read. */
    UnknownVersion,
    /** The input ends before the message does. */
    Truncated,
    /** More bytes or records than allowed. */
    Oversized,
    Malformed,
    /** A number is infinite or not a number. The rest of the message is used. */
    NotFinite,
    /** A snapshot that cannot be decoded or is too large. */
    Snapshot,
    /** An exception while the message was handled. */
    Failed,
};

/** Returns the value of the label `reason` in metrics and of the field `reason` in logs. */
[[nodiscard]] std::string_view toString(RejectReason reason);

} // namespace magnolia::fleet
