// The product's choice as each instance makes it, and simple policies to hold it against.
#pragma once

#include "ipolicy.h"
#include "workload.h"

#include "framework/testing/schedule.h"

#include <memory>
#include <string>
#include <vector>

namespace magnolia::bench
{

/** Names that `makePolicy` knows, in the order of reports. */
[[nodiscard]] const std::vector<std::string> &policyNames();

/** `schedule` carries the notes between instances; both must outlive the policy. Null for an unknown name. */
[[nodiscard]] std::unique_ptr<IPolicy> makePolicy(
    const std::string &name, const Workload &workload, testing::Schedule &schedule, std::uint64_t seed);

/** Whether the policy is told the true length of each answer; it then bounds what better estimates could gain. */
[[nodiscard]] bool knowsOutput(const std::string &name);

} // namespace magnolia::bench
