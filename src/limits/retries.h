// The retry budget: bounds how much retries can add to the load, whatever the number of failures.
#pragma once

#include "limits/types/retrybudget.h"

namespace magnolia::limits
{

/** A fresh request earns its share of a retry. */
void onNewRequest(RetryBudget &budget);

/** Takes one retry from the budget; false where there is none. */
[[nodiscard]] bool takeRetry(RetryBudget &budget);

} // namespace magnolia::limits
