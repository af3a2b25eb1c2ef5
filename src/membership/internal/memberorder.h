// Choosing of members: in random rounds, or some at random.
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

/** The next member of the round that is not dead; begins a round where one has ended. */
[[nodiscard]] std::optional<InstanceId> nextLiveMember(
    const MembershipState &state, MemberOrder &order, Random &random);

template <typename T>
void shuffle(std::vector<T> &values, Random &random)
{
    for (std::size_t i = values.size(); i > 1; --i) {
        std::swap(values[i - 1], values[random.below(i)]);
    }
}

/** Keeps `count` of the values, chosen at random. */
template <typename T>
void keepRandomSubset(std::vector<T> &values, std::size_t count, Random &random)
{
    shuffle(values, random);
    if (values.size() > count) {
        values.resize(count);
    }
}

} // namespace magnolia::membership
