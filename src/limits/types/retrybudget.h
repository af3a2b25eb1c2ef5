// State of a retry budget: retries may be at most a share of fresh requests.
#pragma once

namespace magnolia::limits
{

struct RetryBudget
{
    /** Retries earned by each fresh request. */
    double ratio = 0.1;
    /** Most retries that can be saved up, so that a quiet time does not pay for a storm. */
    double maxBalance = 10;
    // Invariant: within [0, maxBalance].
    double balance = 10;
};

} // namespace magnolia::limits
