// The listener for other instances and the keys that authenticate messages between them.
#pragma once

#include "settings/types/peerkey.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::settings
{

struct PeerSettings
{
    /** Address `ip:port`, UDP and TCP. */
    std::string address;
    /** Keys accepted in messages from peers. Invariant: not empty; ids are unique. */
    std::vector<PeerKey> keys;
    /** Id of the key that signs this instance's own messages. Invariant: the id of one of `keys`. */
    std::uint32_t sendKey = 0;
};

} // namespace magnolia::settings
