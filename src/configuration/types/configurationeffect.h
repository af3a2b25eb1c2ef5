// Actions requested by the configuration distribution, as returned by `step` and `tick`.
#pragma once

#include "blackboard/types/configuration.h"
#include "configuration/types/configurationmessage.h"
#include "configuration/types/snapshotrequest.h"
#include "framework/global/types/time.h"
#include "settings/types/checkfailure.h"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace magnolia::configuration
{

/** Starts a watch call to the service. Its result is passed in as ServiceAnswered or ServiceFailed with the same
 * `callId`. */
struct CallService
{
    std::uint64_t callId = 0;
    Revision after;
    Milliseconds wait{0};
    std::size_t replica = 0;
};

struct SendToPeer
{
    InstanceId to;
    ConfigurationMessage message;
};

/** Fetches a snapshot from a peer. Its result is passed in as SnapshotReceived or FetchFailed. */
struct FetchFromPeer
{
    InstanceId from;
    SnapshotRequest request;
};

struct ApplyConfiguration
{
    Configuration configuration;
    /** The peer that sent the configuration; empty if it came from the service. */
    InstanceId source;
};

/** A revision failed validation; the previous valid one remains current. */
struct ReportRejected
{
    Revision revision;
    InstanceId source;
    settings::CheckFailure failure;
};

/** The service offered a revision below the current one. */
struct ReportStale
{
    Revision offered;
    Revision current;
};

/** A peer has different content under the current revision. */
struct ReportDiverged
{
    InstanceId peer;
    Revision revision;
};

using ConfigurationEffect = std::variant<CallService, SendToPeer, FetchFromPeer, ApplyConfiguration, ReportRejected,
    ReportStale, ReportDiverged>;
using ConfigurationEffects = std::vector<ConfigurationEffect>;

} // namespace magnolia::configuration
