// What other modules ask of the membership: to leave, to share a small value, and to report on an upstream.
// Who is alive stands on the blackboard.
#pragma once

#include "framework/global/types/ids.h"
#include "membership/types/sharedvalue.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace magnolia::membership
{

/** Called, without any lock held, when a higher version of a shared value was heard from a peer. */
using SharedValueHandler = std::function<void(const std::string &key, const SharedValue &value)>;

class IMembership
{
public:
    virtual ~IMembership() = default;

    /** Begins to take part: joins by the published list, and writes the blackboard's membership. */
    virtual void start() = 0;
    /** Ends taking part at once, without telling anyone; after a planned stop announceLeave came well before. */
    virtual void stop() = 0;

    /** Tells all peers that this instance is leaving; cannot be taken back. */
    virtual void announceLeave() = 0;

    /**
     * Makes a value known to all peers, who keep its highest version. The key `configuration` with the revision as
     * version is how an instance learns that a newer configuration exists. False where key or value are too large or
     * too many.
     */
    [[nodiscard]] virtual bool shareValue(const std::string &key, std::uint64_t version, const std::string &value) = 0;
    /** The highest version known, by whomever. */
    [[nodiscard]] virtual std::optional<SharedValue> sharedValue(const std::string &key) const = 0;
    virtual void setSharedValueHandler(SharedValueHandler handler) = 0;

    /** Reports that an upstream was seen leaving, or answered as live after that. Cheap to repeat. */
    virtual void reportUpstream(const UpstreamId &upstream, bool isLeaving) = 0;
};

} // namespace magnolia::membership
