// Decides when an instance checks by itself whether the store has changes that its watch has not returned.
//
// A watch without changes and a watch whose answer was lost look the same. One instance that asks the store with a
// short call finds out for all: it announces what the store has, and the others check later. The delay before a check
// is random, so that one instance of any size of fleet asks and nobody has to be chosen. It does no I/O: time and
// random numbers are passed in.
#pragma once

#include "framework/global/random.h"
#include "framework/global/types/time.h"

#include <cstddef>

namespace magnolia::published
{

struct StoreCheckParameters
{
    /** Time after the last confirmation before which nobody checks. */
    Milliseconds interval{700};
    /** The check is delayed by up to this time for each instance, in which the announcement of another arrives. */
    Milliseconds spreadPerInstance{20};
    Milliseconds minSpread{300};
    /** Minimum wait after a failed check. */
    Milliseconds retryDelay{150};
    /**
     * Time without a confirmation after which answers of the store may have been lost on all instances: several checks,
     * and less than the time in which leases expire.
     */
    Milliseconds silenceLimit{2500};
};

class StoreCheckSchedule
{
public:
    explicit StoreCheckSchedule(StoreCheckParameters parameters = {});

    /**
     * Records that this instance knew all that the store had at the time `at`, by its own call or by that of a peer.
     * Returns whether the store was silent for longer than the silence limit before.
     */
    bool onConfirmed(MonoTime at, std::size_t instances, Random &random);
    /** Plans the next check after a check of this instance has failed, or could not be made. */
    void onNotConfirmed(MonoTime now, std::size_t instances, Random &random);

    [[nodiscard]] MonoTime dueAt() const;
    [[nodiscard]] MonoTime confirmedAt() const;
    /** Whether no confirmation has come for longer than the silence limit. */
    [[nodiscard]] bool isSilent(MonoTime now) const;

private:
    [[nodiscard]] Milliseconds randomSpread(std::size_t instances, Random &random) const;

    StoreCheckParameters m_parameters;
    MonoTime m_confirmedAt{};
    MonoTime m_dueAt{};
};

} // namespace magnolia::published
