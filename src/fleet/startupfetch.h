// Decides whether an instance without any state asks a peer for it now.
//
// Answers the load of a fleet whose instances all start while the store is unavailable: the first instance that gets
// an answer of the store is known to all others within milliseconds. If all asked it at once, its link would carry
// hundreds of connections of which it can serve a few. Each instance therefore asks with a probability at which the
// instances that have the state get about as many requests as they can serve; with each round the state reaches a
// multiple of the instances. It does no I/O: the numbers of instances and random numbers are passed in.
#pragma once

#include "framework/global/random.h"
#include "framework/global/types/time.h"

#include <cstddef>

namespace magnolia::fleet
{

/** Snapshot transfers that one instance sends at the same time. */
inline constexpr std::size_t maxConcurrentSnapshots = 3;
/** Mean time between two looks for a peer to ask: half the time of a snapshot of 100 KB at 20 Mbit/s. */
inline constexpr Milliseconds startupLookInterval{20};

/** What an instance without a state knows of the fleet. */
struct StartupFetchView
{
    /** Live peers that have the state. */
    std::size_t sources = 0;
    /** Live instances that do not have it, including this one. */
    std::size_t withoutState = 1;
};

/** Returns the probability with which the instance asks a peer at this look. */
[[nodiscard]] double startupFetchShare(const StartupFetchView &view);
/** Returns the time to the next look, uniform with a mean of `startupLookInterval`. */
[[nodiscard]] Milliseconds startupLookDelay(Random &random);

} // namespace magnolia::fleet
