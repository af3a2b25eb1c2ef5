// The platform's list of live and leaving instances. It lags behind reality.
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

    /** Replicas may answer with different revisions, so a reader chooses. Never zero. */
    [[nodiscard]] virtual std::size_t replicaCount() const = 0;

    /**
     * The list, from replica `first`, or from the next one that can be reached; `readAt` is left to the reader.
     * Blocks. Errors: PlatformUnavailable, PlatformMalformed.
     */
    [[nodiscard]] virtual Result<PublishedList> read(std::size_t first) = 0;
};

} // namespace magnolia::ports
