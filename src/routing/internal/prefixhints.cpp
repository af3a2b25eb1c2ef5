// The weight of a hint halves in each half-life, because evictions may have been missed.
#include "routing/prefixhints.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace magnolia::routing
{

namespace
{

constexpr std::chrono::duration<double> halfLife{20};
constexpr Seconds maxHintAge{120};

} // namespace

void recordPrefixStored(PrefixHintTable &table, std::uint64_t prefix, const PrefixHint &hint)
{
    std::vector<PrefixHint> &hints = table.prefixes[prefix];
    const auto it = std::find_if(hints.begin(), hints.end(), [&hint](const PrefixHint &other) {
        return other.upstream == hint.upstream;
    });
    if (it == hints.end()) {
        hints.push_back(hint);
    } else if (it->seenAt <= hint.seenAt) {
        *it = hint;
    }
}

void recordPrefixEvicted(PrefixHintTable &table, std::uint64_t prefix, const UpstreamId &upstream)
{
    const auto it = table.prefixes.find(prefix);
    if (it == table.prefixes.end()) {
        return;
    }
    std::erase_if(it->second, [&upstream](const PrefixHint &hint) {
        return hint.upstream == upstream;
    });
    if (it->second.empty()) {
        table.prefixes.erase(it);
    }
}

Tokens cachedTokens(const PrefixHintTable &table, std::uint64_t prefix, const UpstreamId &upstream, MonoTime now)
{
    const auto it = table.prefixes.find(prefix);
    if (it == table.prefixes.end()) {
        return Tokens{};
    }
    for (const PrefixHint &hint : it->second) {
        if (hint.upstream == upstream) {
            const std::chrono::duration<double> age = std::max(MonoTime::duration{0}, now - hint.seenAt);
            const double weight = std::exp2(-age / halfLife);
            return Tokens(static_cast<std::uint64_t>(static_cast<double>(hint.cached.count()) * weight));
        }
    }
    return Tokens{};
}

void removeExpiredHints(PrefixHintTable &table, MonoTime now)
{
    for (auto &[prefix, hints] : table.prefixes) {
        std::erase_if(hints, [now](const PrefixHint &hint) {
            return now - hint.seenAt > maxHintAge;
        });
    }
    std::erase_if(table.prefixes, [](const auto &row) {
        return row.second.empty();
    });
}

} // namespace magnolia::routing
