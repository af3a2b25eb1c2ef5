// Selection of members: round-robin in random order, or a random subset.
#pragma once

#include "framework/global/random.h"
#include "membership/types/memberorder.h"
#include "membership/types/membershipstate.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace magnolia::membership
{

/** Returns the next member of the round that is not dead, and starts a new round when one ends. */
[[nodiscard]] std::optional<InstanceId> nextLiveMember(
    const MembershipState &state, MemberOrder &order, Random &random);

template <typename T>
void shuffle(std::vector<T> &values, Random &random)
{
    for (std::size_t i = values.size(); i > 1; --i) {
        std::swap(values[i - 1], values[random.below(i)]);
    }
}

/** Keeps at most `count` of the values, selected at random. */
template <typename T>
void keepRandomSubset(std::vector<T> &values, std::size_t count, Random &random)
{
    shuffle(values, random);
    if (values.size() > count) {
        values.resize(count);
    }
}

} // namespace magnolia::membership
