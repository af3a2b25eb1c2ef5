// The platform's configuration service as the system sees it: it can be read and watched, never written.
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

    /** Replicas may answer with different revisions, so a reader chooses. Never zero. */
    [[nodiscard]] virtual std::size_t replicaCount() const = 0;

    /**
     * All keys at one revision, from replica `first`, or from the next one that can be reached.
     * Errors: PlatformUnavailable, PlatformMalformed.
     */
    [[nodiscard]] virtual Result<ConfigurationSnapshot> read(std::size_t first) = 0;

    /**
     * As `read`, as soon as the replica holds a revision above `after`; empty when that takes longer than `wait`.
     * Counts as one call of the service. Blocks.
     */
    [[nodiscard]] virtual Result<std::optional<ConfigurationSnapshot>> watch(
        Revision after, Milliseconds wait, std::size_t first)
        = 0;
};

} // namespace magnolia::ports
