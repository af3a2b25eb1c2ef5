// Interface of the membership for other modules: leaving, sharing small values and reporting upstreams.
// The state of the peers is published on the blackboard.
#pragma once

#include "framework/global/types/ids.h"
#include "membership/types/sharedvalue.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace magnolia::membership
{

/** Called, without any lock held, when a higher version of a shared value was received from a peer. */
using SharedValueHandler = std::function<void(const std::string &key, const SharedValue &value)>;

class IMembership
{
public:
    virtual ~IMembership() = default;

    /** Joins through the instances in the published list, and starts to update the membership on the blackboard. */
    virtual void start() = 0;
    /** Stops immediately without notifying peers; a planned stop calls announceLeave well before. */
    virtual void stop() = 0;

    /** Tells all peers that this instance is leaving; this cannot be undone. */
    virtual void announceLeave() = 0;

    /**
     * Replicates a value to all peers, which keep the highest version. Instances learn of a newer configuration from
     * the key `configuration`, whose version is the configuration's revision. Returns false if the key is empty, the
     * key or the value is too long, or there are too many values.
     */
    [[nodiscard]] virtual bool shareValue(const std::string &key, std::uint64_t version, const std::string &value) = 0;
    /** The highest known version of a value, whichever instance shared it. */
    [[nodiscard]] virtual std::optional<SharedValue> sharedValue(const std::string &key) const = 0;
    virtual void setSharedValueHandler(SharedValueHandler handler) = 0;

    /** Reports that an upstream is leaving, or that it answered as live after that. Repeated reports are cheap. */
    virtual void reportUpstream(const UpstreamId &upstream, bool isLeaving) = 0;
};

} // namespace magnolia::membership
