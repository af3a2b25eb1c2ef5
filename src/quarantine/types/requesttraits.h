// The properties of a request by which it is compared with requests that crashed their upstreams.
#pragma once

#include "quarantine/types/fingerprint.h"

#include <vector>

namespace magnolia::quarantine
{

// Invariant: both lists are sorted and have no duplicates.
struct RequestTraits
{
    /** Properties that may crash an upstream by themselves, such as a part of the prompt that other requests share. */
    std::vector<Fingerprint> suspects;
    /** Properties that only narrow a quarantine, such as the organisation. */
    std::vector<Fingerprint> context;
};

/** Sorts both lists and removes duplicates. */
void normalise(RequestTraits &traits);
/** Whether the sorted `all` contains each element of the sorted `some`. */
[[nodiscard]] bool containsAll(const std::vector<Fingerprint> &all, const std::vector<Fingerprint> &some);
/** Whether a request with the traits `request` has all of `required`. */
[[nodiscard]] bool matches(const RequestTraits &required, const RequestTraits &request);
[[nodiscard]] bool contains(const std::vector<Fingerprint> &all, Fingerprint one);

} // namespace magnolia::quarantine
