// The placement policy of the product, and simple policies to compare it with.
#pragma once

#include "ipolicy.h"
#include "workload.h"

#include "framework/testing/schedule.h"

#include <memory>
#include <string>
#include <vector>

namespace magnolia::bench
{

/** Returns the names of all policies, in the order of reports. */
[[nodiscard]] const std::vector<std::string> &policyNames();

/**
 * Returns null for an unknown name. `schedule` delivers the messages between instances; `workload` and `schedule` must
 * outlive the policy.
 */
[[nodiscard]] std::unique_ptr<IPolicy> makePolicy(
    const std::string &name, const Workload &workload, testing::Schedule &schedule, std::uint64_t seed);

/** Returns whether the policy gets the true length of each answer, to show how much better estimates could gain. */
[[nodiscard]] bool knowsOutputLength(const std::string &name);

} // namespace magnolia::bench
