// Datagram that instances exchange about the configuration.
#pragma once

#include "framework/global/types/ids.h"

#include <cereal/types/string.hpp>

#include <cstdint>

namespace magnolia::configuration
{

enum class MessageKind : std::uint8_t {
    /** Carries the sender's revision; also the answer to Query. */
    Announce = 1,
    /** Same as Announce, and requests an Announce in return. */
    Query = 2,
    /** The sender used to reach the service and no longer does. */
    ServiceLost = 3,
};

struct ConfigurationMessage
{
    MessageKind kind = MessageKind::Announce;
    /** Current revision of the sender; zero if it has none. */
    Revision revision;
    /** Digest of the snapshot with that revision. */
    std::uint64_t digest = 0;
    /** Identifies a query; its answer repeats it. Zero if the message is neither a query nor an answer. */
    std::uint64_t queryId = 0;
    /** An instance of the sender's data centre that reached the service; empty if none is known. */
    InstanceId watcher;
    /** Time since `watcher` last reached the service. */
    std::uint64_t watcherContactAgeMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        auto kindValue = static_cast<std::uint8_t>(kind);
        archive(kindValue, revision, digest, queryId, watcher, watcherContactAgeMs);
        kind = static_cast<MessageKind>(kindValue);
    }
};

} // namespace magnolia::configuration
