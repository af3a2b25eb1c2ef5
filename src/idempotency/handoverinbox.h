// The complete and partial handovers that this instance has received.
#pragma once

#include "idempotency/types/handover.h"
#include "idempotency/types/keyparameters.h"

#include <map>
#include <optional>
#include <set>

namespace magnolia::idempotency
{

/** The range of creation times for which a complete handover names all dispatched keys. */
struct HandoverCoverage
{
    /** Keys created at or before this time are not covered. */
    WallTime completeAfter{};
    /** When the sender stopped dispatching, by its wall clock. */
    WallTime snapshotAt{};
};

class HandoverInbox
{
public:
    /** `startedAt` is when this process started, by its wall clock. */
    HandoverInbox(WallTime startedAt, KeyParameters parameters);

    /** Records that the keys of `part` were imported; false if the part is inconsistent in itself or with others. */
    bool recordPart(const HandoverPart &part);
    /**
     * Coverage of the usable handover that `sender` sent after acting under a revision in [first, last]; with several,
     * the one that covers the oldest keys. Empty if there is none.
     */
    [[nodiscard]] std::optional<HandoverCoverage> findCoverage(
        const InstanceId &sender, std::uint64_t first, std::uint64_t last) const;

private:
    struct Received
    {
        HandoverCoverage coverage;
        std::uint32_t count = 0;
        std::set<std::uint32_t> indices;
    };

    [[nodiscard]] bool isUsable(const Received &received) const;
    void evictOldest();

    WallTime m_startedAt;
    KeyParameters m_parameters;
    // Invariant: at most maxHandovers.
    std::map<HandoverId, Received> m_received;
};

} // namespace magnolia::idempotency
