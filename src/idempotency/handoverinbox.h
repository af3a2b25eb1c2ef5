// Handovers that other entries have sent here, whole or in part.
#pragma once

#include "idempotency/types/handover.h"
#include "idempotency/types/keyparameters.h"

#include <map>
#include <optional>
#include <set>

namespace magnolia::idempotency
{

/** What a whole handover proves. */
struct HandoverCoverage
{
    /** Keys created at or before this are not covered. */
    WallTime completeAfter{};
    /** When the sender stopped dispatching, by its clock. */
    WallTime snapshotAt{};
};

class HandoverInbox
{
public:
    /** `startedAt` is when this process began. */
    HandoverInbox(WallTime startedAt, KeyParameters parameters);

    /** Notes that the keys of `part` were taken in; false where the part contradicts itself or earlier parts. */
    bool note(const HandoverPart &part);
    /** The handover of `sender` that it gave after acting under a revision in [first, last]. */
    [[nodiscard]] std::optional<HandoverCoverage> cover(
        const InstanceId &sender, std::uint64_t first, std::uint64_t last) const;

private:
    struct Received
    {
        HandoverCoverage cover;
        std::uint32_t count = 0;
        std::set<std::uint32_t> indices;
    };

    [[nodiscard]] bool isUsable(const Received &received) const;
    void dropOldest();

    WallTime m_startedAt;
    KeyParameters m_parameters;
    // Invariant: at most maxHandovers.
    std::map<HandoverId, Received> m_received;
};

} // namespace magnolia::idempotency
