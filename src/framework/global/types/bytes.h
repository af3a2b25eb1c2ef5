// A number of bytes.
#pragma once

#include "framework/global/types/quantity.h"

namespace magnolia
{

using Bytes = Quantity<struct BytesTag>;

} // namespace magnolia
