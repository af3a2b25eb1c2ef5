// Crediting and taking retries.
#include "limits/retries.h"

#include <algorithm>

namespace magnolia::limits
{

void onNewRequest(RetryBudget &budget)
{
    budget.balance = std::min(budget.maxBalance, budget.balance + budget.ratio);
}

bool takeRetry(RetryBudget &budget)
{
    if (budget.balance < 1) {
        return false;
    }
    budget.balance -= 1;
    return true;
}

} // namespace magnolia::limits
