// Input events of the configuration distribution, as passed to `step`.
#pragma once

#include "blackboard/types/configurationsnapshot.h"
#include "configuration/types/configurationmessage.h"
#include "configuration/types/peerinfo.h"
#include "configuration/types/snapshotanswer.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace magnolia::configuration
{

/** The other entry instances considered alive. The first event of this kind marks the peers as known. */
struct PeersChanged
{
    std::vector<PeerInfo> peers;
};

/** A call to the service succeeded. `snapshot` is empty if nothing newer appeared within the wait. */
struct ServiceAnswered
{
    std::uint64_t callId = 0;
    std::optional<ConfigurationSnapshot> snapshot;
};

struct ServiceFailed
{
    std::uint64_t callId = 0;
};

struct MessageReceived
{
    InstanceId from;
    ConfigurationMessage message;
};

struct SnapshotReceived
{
    InstanceId from;
    SnapshotAnswer answer;
};

struct FetchFailed
{
    InstanceId from;
};

using ConfigurationEvent
    = std::variant<PeersChanged, ServiceAnswered, ServiceFailed, MessageReceived, SnapshotReceived, FetchFailed>;

} // namespace magnolia::configuration
