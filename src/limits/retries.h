// Retry budget: limits the load added by retries, whatever the number of failures.
#pragma once

#include "limits/types/retrybudget.h"

namespace magnolia::limits
{

/** Credits the budget with `ratio` of a retry for a request that is not itself a retry. */
void onNewRequest(RetryBudget &budget);

/** Takes one retry from the budget; returns false if less than one is left. */
[[nodiscard]] bool takeRetry(RetryBudget &budget);

} // namespace magnolia::limits
