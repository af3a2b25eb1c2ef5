// Random rounds over the members that are not dead.
#include "membership/internal/memberorder.h"

#include "membership/internal/table.h"

namespace magnolia::membership
{
namespace
{

bool isLive(const MembershipState &state, const InstanceId &id)
{
    const auto it = state.members.find(id);
    return it != state.members.end() && !isDead(it->second);
}

void startRound(const MembershipState &state, MemberOrder &order, Random &random)
{
    order.ids.clear();
    order.nextIndex = 0;
    for (const auto &[id, member] : state.members) {
        if (!isDead(member)) {
            order.ids.push_back(id);
        }
    }
    shuffle(order.ids, random);
}

} // namespace

std::optional<InstanceId> nextLiveMember(const MembershipState &state, MemberOrder &order, Random &random)
{
    // A second pass is needed if all remaining members of this round have died.
    for (int pass = 0; pass < 2; ++pass) {
        while (order.nextIndex < order.ids.size()) {
            const InstanceId &id = order.ids[order.nextIndex++];
            if (isLive(state, id)) {
                return id;
            }
        }
        startRound(state, order, random);
    }
    return std::nullopt;
}

} // namespace magnolia::membership
