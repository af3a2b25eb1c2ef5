// Time limits and bounds for orders to engines; docs/design/orders.md describes their guarantees.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>

namespace magnolia::orders
{

/** Tests switch off single mechanisms to show that the checks detect their absence. Always on elsewhere. */
struct Safeguards
{
    /** Owners are chosen from lists that all entries have seen, and a new owner waits until the old one has stopped. */
    bool usesSettledList = true;
    /** Fencing numbers derive from the configuration and list revisions; the engine's highest is read first. */
    bool usesFencing = true;
    /** No destructive order without a confirmed configuration and contact to a majority of entries. */
    bool requiresConfirmedView = true;
    /** A difference must last for a minimum time, and repeated orders have a minimum interval. */
    bool usesHysteresis = true;
    /** Only one entry at a time may cause loads from the weight store. */
    bool usesWeightStoreSlots = true;
};

struct WeightStoreLimit
{
    /** Loads that the store allows in any period of length `window`. */
    std::uint32_t maxLoads = 60;
    Milliseconds window{60'000};
    /** Loads reserved for orders that leave late because the sender's process was paused after its last check. */
    std::uint32_t reservedLoads = 2;
    /** Longest time from the last check to the engine's load from the store, unless the sender is paused. */
    Milliseconds maxDispatchDelay{1000};
};

struct OrderParameters
{
    /** Largest difference between any two clocks of entries and the platform. */
    Milliseconds maxClockSkew{1000};
    /** How much older than its timestamp a list's content may be, as replicas lag and their clocks differ. */
    Milliseconds maxTimestampLag{1000};
    /** Age after which every working entry has seen a list; an entry that has not sends no orders. */
    Milliseconds settledListAge{5000};
    /** Maximum age of the current configuration's confirmation for a destructive order. */
    Milliseconds configurationValidity{5000};
    /** Maximum age of an engine's report for an order. */
    Milliseconds reportValidity{2000};
    /** How long an engine must differ from its desired state before it is sent an order. */
    Milliseconds minDifferenceTime{2000};
    /** Minimum time between two orders of the same state to an engine. */
    Milliseconds minRepeatInterval{30'000};
    WeightStoreLimit weightStore;
    Safeguards safeguards;

    /**
     * How long the settled list must have named an entry as owner. Clock skew and timestamp lag keep two owners from
     * overlapping; the configuration's validity ensures that the new owner's configuration is newer than its
     * predecessor's last order.
     */
    [[nodiscard]] constexpr Milliseconds takeoverDelay() const
    {
        return 2 * maxClockSkew + maxTimestampLag + configurationValidity;
    }

    /** Length of the time slots in which one entry may cause loads from the weight store. */
    [[nodiscard]] constexpr Milliseconds slotWidth() const
    {
        const auto usable = weightStore.maxLoads > weightStore.reservedLoads + 1
            ? weightStore.maxLoads - weightStore.reservedLoads - 1
            : 1;
        const Milliseconds span = weightStore.window + 2 * maxClockSkew + weightStore.maxDispatchDelay;
        return (span + Milliseconds(usable - 1)) / usable;
    }
};

} // namespace magnolia::orders
