// Records and reads prefix hints.
#pragma once

#include "routing/types/prefixhints.h"

namespace magnolia::routing
{

/** An engine reported, or own requests imply, that it holds `hint.cached` tokens of the prefix. */
void recordPrefixStored(PrefixHintTable &table, std::uint64_t prefix, const PrefixHint &hint);
void recordPrefixEvicted(PrefixHintTable &table, std::uint64_t prefix, const UpstreamId &upstream);

/** Expected number of cached tokens; decreases with the hint's age, zero without a hint. */
[[nodiscard]] Tokens cachedTokens(
    const PrefixHintTable &table, std::uint64_t prefix, const UpstreamId &upstream, MonoTime now);

/** Removes hints above the maximum age. */
void removeExpiredHints(PrefixHintTable &table, MonoTime now);

} // namespace magnolia::routing
