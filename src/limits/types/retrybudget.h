// State of a retry budget: retries are limited to a share of new requests.
#pragma once

namespace magnolia::limits
{

struct RetryBudget
{
    /** Retries earned by each new request. */
    double ratio = 0.1;
    /** Maximum number of saved retries, so that idle time does not allow a later retry storm. */
    double maxBalance = 10;
    // Invariant: within [0, maxBalance].
    double balance = 10;
};

} // namespace magnolia::limits
