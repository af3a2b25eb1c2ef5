// The platform's configuration service, which can be read and watched but not written.
#pragma once

#include "blackboard/types/configurationsnapshot.h"
#include "framework/global/error.h"
#include "framework/global/types/time.h"

#include <cstddef>
#include <optional>

namespace magnolia::ports
{

class IConfigurationService
{
public:
    virtual ~IConfigurationService() = default;

    /** Number of replicas, at least one. Replicas may return different revisions, so the caller chooses one. */
    [[nodiscard]] virtual std::size_t replicaCount() const = 0;

    /**
     * Reads all keys at one revision from replica `firstReplica` or the next reachable one.
     * Errors: PlatformUnavailable, PlatformMalformed.
     */
    [[nodiscard]] virtual Result<ConfigurationSnapshot> read(std::size_t firstReplica) = 0;

    /**
     * Like `read`, but returns once the replica has a revision above `after`; empty if that takes longer than `wait`.
     * Counts as one call to the service. Blocks.
     */
    [[nodiscard]] virtual Result<std::optional<ConfigurationSnapshot>> watch(
        Revision after, Milliseconds wait, std::size_t firstReplica)
        = 0;
};

} // namespace magnolia::ports
