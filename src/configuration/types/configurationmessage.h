// What instances tell each other in datagrams about the configuration.
#pragma once

#include "framework/global/types/ids.h"

#include <cereal/types/string.hpp>

#include <cstdint>

namespace magnolia::configuration
{

enum class MessageKind : std::uint8_t {
    /** Tells the sender's revision; also the answer to Ask. */
    Announce = 1,
    /** As Announce, and asks for an Announce. */
    Query = 2,
    /** The sender was heard to reach the service and no longer does. */
    ServiceLost = 3,
};

struct ConfigurationMessage
{
    MessageKind kind = MessageKind::Announce;
    /** Revision in force at the sender; zero: none. */
    Revision revision;
    /** Digest of that snapshot. */
    std::uint64_t digest = 0;
    /** Number of the question; an answer repeats it. Zero: neither question nor answer. */
    std::uint64_t queryId = 0;
    /** An instance of the sender's data centre that reached the service; empty: none known. */
    InstanceId watcher;
    /** How long ago it did. */
    std::uint64_t watcherContactAgeMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        auto number = static_cast<std::uint8_t>(kind);
        archive(number, revision, digest, queryId, watcher, watcherContactAgeMs);
        kind = static_cast<MessageKind>(number);
    }
};

} // namespace magnolia::configuration
