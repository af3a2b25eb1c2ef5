// XXH3 and rendezvous hashing.
#include "framework/global/hashing.h"

#include <xxhash.h>

namespace magnolia
{

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return stableHash(node, stableHash(key));
}

std::optional<std::size_t> rendezvousOwner(std::string_view key, std::span<const std::string> nodes)
{
    std::optional<std::size_t> owner;
    std::uint64_t maxWeight = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const std::uint64_t weight = rendezvousWeight(key, nodes[i]);
        if (!owner || weight > maxWeight || (weight == maxWeight && nodes[i] < nodes[*owner])) {
            owner = i;
            maxWeight = weight;
        }
    }
    return owner;
}

} // namespace magnolia
