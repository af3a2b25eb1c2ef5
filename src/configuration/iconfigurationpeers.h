// Communication with the other entry instances about the configuration.
#pragma once

#include "configuration/types/configurationmessage.h"
#include "configuration/types/snapshotanswer.h"
#include "configuration/types/snapshotrequest.h"
#include "framework/global/error.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

namespace magnolia::configuration
{

class IConfigurationPeers
{
public:
    virtual ~IConfigurationPeers() = default;

    /** Sends a datagram without waiting for delivery; must not block. It may be lost, duplicated or reordered. */
    virtual void send(const InstanceId &to, const ConfigurationMessage &message) = 0;

    /** Requests the snapshot of `from` and waits at most `timeout`. Error: any code of a call to a peer. */
    [[nodiscard]] virtual Result<SnapshotAnswer> fetch(
        const InstanceId &from, const SnapshotRequest &request, Milliseconds timeout)
        = 0;
};

} // namespace magnolia::configuration
