// What the distribution of the configuration wants done, as returned by `step` and `tick`.
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

/** A watch on the service; its end comes back as ServiceAnswered or ServiceFailed with the same `callId`. */
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

/** Its end comes back as SnapshotReceived or FetchFailed. */
struct FetchFromPeer
{
    InstanceId from;
    SnapshotRequest request;
};

struct ApplyConfiguration
{
    Configuration configuration;
    /** The peer it came from; empty: the service. */
    InstanceId source;
};

/** A revision that does not pass its check; the last good one stays in force. */
struct ReportRejected
{
    Revision revision;
    InstanceId source;
    settings::CheckFailure failure;
};

/** The service offers less than is in force. */
struct ReportStale
{
    Revision offered;
    Revision current;
};

/** A peer holds other content under the revision in force. */
struct ReportDiverged
{
    InstanceId peer;
    Revision revision;
};

using ConfigurationEffect = std::variant<CallService, SendToPeer, FetchFromPeer, ApplyConfiguration, ReportRejected,
    ReportStale, ReportDiverged>;
using ConfigurationEffects = std::vector<ConfigurationEffect>;

} // namespace magnolia::configuration
