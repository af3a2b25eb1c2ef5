// Assigns each upstream to one entry of its data centre, which requests its load reports.
#pragma once

#include "framework/global/types/ids.h"

#include <span>
#include <string>
#include <vector>

namespace magnolia::observing
{

/**
 * The upstreams that `self` observes, by rendezvous hashing over the entries of the data centre, including `self`.
 * While entries disagree about which of them are alive, an upstream may have two observers, but it does not stay
 * without one.
 */
[[nodiscard]] std::vector<UpstreamId> upstreamsToObserve(
    const InstanceId &self, std::span<const std::string> entries, std::span<const UpstreamId> upstreams);

} // namespace magnolia::observing
