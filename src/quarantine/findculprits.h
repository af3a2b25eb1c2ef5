// Finds what the requests that crash upstreams have in common.
//
// A crash breaks all requests of its upstream, most of them innocent. A property is blamed only for crashes one after
// the other: the request that the upstream was beginning with was sent after the crash before. Upstreams that end at
// the same moment for another reason, such as a loss of power, count once for each property. A request that succeeds
// clears its properties. A property that is always beside the culprit, but in other requests, explains the crashes
// equally well; then nothing is blamed until a further crash tells them apart.
#pragma once

#include "quarantine/types/crashreport.h"
#include "quarantine/types/culprit.h"
#include "quarantine/types/fingerprint.h"

#include <span>
#include <unordered_map>
#include <vector>

namespace magnolia::quarantine
{

struct CulpritParameters
{
    /**
     * Successive crashes for which a property is blamed if no crash since the first of them lacks it. Crashes without
     * it show that there are other reasons: if it is present in one of two crashes, twice as many are needed.
     */
    std::size_t minCrashes = 3;
    /** Upper bound of the number of crashes that a property without successes needs. */
    std::size_t maxRequiredCrashes = 8;
    /** Lower bound for a property whose requests succeeded not long before. */
    std::size_t minCrashesOfEstablished = 8;
    /** Tolerated error of times that other instances have sent. */
    Milliseconds clockTolerance{20};
};

/**
 * Returns the culprits, those that explain most crashes first. `succeededAt` is the last success by property. A crash
 * with a request that has all `known` traits of one kind speaks against nothing but these suspects.
 */
[[nodiscard]] std::vector<Culprit> findCulprits(std::span<const CrashReport> reports,
    const std::unordered_map<Fingerprint, MonoTime> &succeededAt, std::span<const RequestTraits> known = {},
    const CulpritParameters &parameters = {});

} // namespace magnolia::quarantine
