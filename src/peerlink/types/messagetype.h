// Types of messages between instances; the module that registers a handler for a type handles its messages.
#pragma once

#include <cstdint>

namespace magnolia::peerlink
{

/** Values on the wire: never reuse one. Values without an enumerator are valid but have no handler. */
enum class MessageType : std::uint8_t {
    Membership = 1,
    ConfigurationFetch = 2,
    KeyHandover = 3,
    LoadRows = 4,
    KeyLookup = 5,
    UpstreamReport = 6,
};

} // namespace magnolia::peerlink
