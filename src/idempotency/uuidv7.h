// Idempotency keys: UUID version 7 (RFC 9562), whose first 48 bits are the creation time in milliseconds.
#pragma once

#include "framework/global/error.h"
#include "framework/global/random.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

namespace magnolia::idempotency
{

/** Creation time of `key`. Errors: KeyMissing if it is empty, KeyMalformed if it is not a UUID version 7. */
[[nodiscard]] Result<WallTime> creationTime(const IdempotencyKey &key);

/** Returns the key in lower case, so that two spellings of one UUID are the same key. */
[[nodiscard]] IdempotencyKey canonicalKey(const IdempotencyKey &key);

/** Creates a key with creation time `now` and 74 bits from `random`. */
[[nodiscard]] IdempotencyKey makeKey(WallTime now, Random &random);

} // namespace magnolia::idempotency
