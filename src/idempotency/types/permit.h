// Identifies the attempt that has reserved a key.
#pragma once

#include "idempotency/types/keyname.h"

#include <cstdint>

namespace magnolia::idempotency
{

struct Permit
{
    KeyName name;
    std::uint64_t attempt = 0;
};

} // namespace magnolia::idempotency
