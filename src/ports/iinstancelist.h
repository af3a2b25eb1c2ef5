// The platform's list of live and leaving instances, which may be outdated.
#pragma once

#include "blackboard/types/publishedlist.h"
#include "framework/global/error.h"

#include <cstddef>

namespace magnolia::ports
{

class IInstanceList
{
public:
    virtual ~IInstanceList() = default;

    /** Number of replicas, at least one. Replicas may return different revisions, so the caller chooses one. */
    [[nodiscard]] virtual std::size_t replicaCount() const = 0;

    /**
     * Reads the list from replica `firstReplica` or the next reachable one; the caller sets `readAt`. Blocks.
     * Errors: PlatformUnavailable, PlatformMalformed.
     */
    [[nodiscard]] virtual Result<PublishedList> read(std::size_t firstReplica) = 0;
};

} // namespace magnolia::ports
