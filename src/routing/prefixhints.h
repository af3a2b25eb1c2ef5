// Keeping and reading prefix hints.
#pragma once

#include "routing/types/prefixhints.h"

namespace magnolia::routing
{

/** An engine said, or own work lets believe, that it holds `cached` tokens of the prefix. */
void recordPrefixStored(PrefixHintTable &table, std::uint64_t prefix, const PrefixHint &hint);
void recordPrefixEvicted(PrefixHintTable &table, std::uint64_t prefix, const UpstreamId &upstream);

/** Tokens that may be counted on, less with the hint's age; zero where nothing is known. */
[[nodiscard]] Tokens cachedTokens(
    const PrefixHintTable &table, std::uint64_t prefix, const UpstreamId &upstream, MonoTime now);

/** Drops hints too old to count. */
void removeExpiredHints(PrefixHintTable &table, MonoTime now);

} // namespace magnolia::routing
