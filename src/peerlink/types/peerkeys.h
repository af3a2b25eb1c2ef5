// The shared keys by which instances authenticate each other's messages.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace magnolia::peerlink
{

/**
 * To replace a key without downtime, first add the new key to the settings of every instance, then set it as the send
 * key of every instance, then remove the old key.
 */
struct PeerKeys
{
    /** Secret by key id; a message authenticated with any of them is accepted. An empty secret is unusable. */
    std::map<std::uint32_t, std::string> secrets;
    /** Id of the key that authenticates sent messages. */
    std::uint32_t sendKey = 0;
};

} // namespace magnolia::peerlink
