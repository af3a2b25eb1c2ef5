// A key that authenticates messages between instances.
#pragma once

#include <cstdint>
#include <string>

namespace magnolia::settings
{

struct PeerKey
{
    /** Identifies the key in a message, so that several keys can be accepted during a rollover. */
    std::uint32_t id = 0;
    /** Must never be printed or logged. */
    std::string secret;

    friend bool operator==(const PeerKey &, const PeerKey &) = default;
};

} // namespace magnolia::settings
