// A number of tokens of a model's vocabulary.
#pragma once

#include "framework/global/types/quantity.h"

namespace magnolia
{

using Tokens = Quantity<struct TokensTag>;

} // namespace magnolia
