// Parts of the request budget of cold upstreams: which instances may send to a cold upstream, and how much.
//
// An upstream that has just started under traffic crashes well above a published rate of requests, summed over all
// instances, whether or not they hear each other. Each cold upstream therefore has a few instances as its users, and
// each user a fixed number of requests in a second. The functions do no I/O and need no agreement: instances that know
// the same instances come to the same users, and the budget leaves room for views that differ by a few.
#pragma once

#include "framework/global/types/time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace magnolia::limits
{

/**
 * Time in which a user sends its part at most. It is longer than the second of the bound by 100 ms, since requests may
 * arrive closer together than they were sent: a machine with a small share of a core may be suspended for most of a
 * 100 ms period.
 */
constexpr Milliseconds coldWindow{1100};
/** Number of instances up to which the users that draw their part without a settled view stay within the budget. */
constexpr double maxColdInstances = 400;

/** The requests that a cold upstream may get in any second, and their division. */
struct ColdBudget
{
    /** Requests in any second from all instances. */
    std::size_t maxRequests = 0;
    /** Instances that may be missing from the view of any instance without the bound being passed. */
    std::size_t viewSlack = 0;
    /** Maximum number of users by the view of one instance. */
    std::size_t maxUsers = 0;
};

/** The instances that one instance knows. */
struct ColdView
{
    /** Names of all instances that are known, including this one and those that have become silent. */
    std::span<const std::string> instances;
    /** Whether the view can be trusted to lack a few instances at most. */
    bool isSettled = false;
};

/** Returns the budget of an upstream that takes `requestsPerSecond`, for a bound of that times `ratio` plus `slack`. */
[[nodiscard]] ColdBudget coldBudget(double requestsPerSecond, double ratio, double slack);

/** Returns the weight by which the instances are ordered as users of `upstream` (rendezvous hashing). */
[[nodiscard]] std::uint64_t coldUserWeight(std::uint64_t upstream, std::string_view instance);

/**
 * Returns the requests that `instance` may send to the cold `upstream` within `coldWindow`; 0 if it is not a user.
 *
 * With a settled view the users are the instances with the highest weights. Without one an instance is a user only if
 * its weight exceeds a threshold that few of up to `maxColdInstances` instances exceed; these are among the users of
 * the settled ones too, so that no part of the budget is idle for them.
 */
[[nodiscard]] std::size_t coldPart(
    std::uint64_t upstream, std::string_view instance, const ColdView &view, const ColdBudget &budget);

} // namespace magnolia::limits
