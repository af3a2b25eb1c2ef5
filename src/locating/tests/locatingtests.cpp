// Tests of the entries returned to a caller: no leaving entries, and one small, evenly used shard per organisation.
#include "locating/locating.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace magnolia;
using namespace magnolia::locating;

namespace
{

PublishedList makeList(int count)
{
    PublishedList list;
    for (int i = 1; i <= count; ++i) {
        PublishedInstance instance;
        instance.id = "entry-" + std::to_string(i);
        instance.address = "127.0.0.1:" + std::to_string(8000 + i);
        list.instances.push_back(instance);
    }
    return list;
}

LocateContext makeContext(const PublishedList &list, const MembershipView &view)
{
    return {list, view, InstanceId("entry-1"), "127.0.0.1:8001", false, Milliseconds(5000)};
}

bool contains(const LocateResponse &response, const std::string &address)
{
    return std::find(response.addresses.begin(), response.addresses.end(), address) != response.addresses.end();
}

} // namespace

TEST_CASE("entries that are leaving or dead are not returned, suspected ones are")
{
    PublishedList list = makeList(9);
    MembershipView view;
    Random random(1);
    list.instances[2].isLeaving = true;
    view.peers[InstanceId("entry-4")].state = PeerState::Leaving;
    view.peers[InstanceId("entry-5")].state = PeerState::Dead;
    view.peers[InstanceId("entry-6")].state = PeerState::Suspect;
    LocateContext context = makeContext(list, view);
    context.isSelfLeaving = true;
    const LocateResponse response = locate(context, OrganisationId("o"), random);
    CHECK(response.addresses.size() == 5);
    CHECK_FALSE(contains(response, "127.0.0.1:8001"));
    CHECK_FALSE(contains(response, "127.0.0.1:8003"));
    CHECK_FALSE(contains(response, "127.0.0.1:8004"));
    CHECK_FALSE(contains(response, "127.0.0.1:8005"));
    CHECK(contains(response, "127.0.0.1:8006"));
}

TEST_CASE("every entry returns the same shard for an organisation and spreads the load evenly over it")
{
    const PublishedList list = makeList(9);
    const MembershipView view;
    std::map<std::string, int> firstChoices;
    for (int self = 1; self <= 9; ++self) {
        LocateContext context = makeContext(list, view);
        context.self = InstanceId("entry-" + std::to_string(self));
        Random random(static_cast<std::uint64_t>(self));
        for (int i = 0; i < 1000; ++i) {
            const LocateResponse response = locate(context, OrganisationId("large"), random);
            REQUIRE(response.addresses.size() == 9);
            ++firstChoices[response.addresses.front()];
        }
    }
    CHECK(firstChoices.size() == minShardSize);
    for (const auto &[address, count] : firstChoices) {
        INFO(address);
        CHECK(count > 2700);
        CHECK(count < 3300);
    }
}

TEST_CASE("the own address is returned if the list is empty, even while leaving")
{
    PublishedList list;
    const MembershipView view;
    Random random(1);
    LocateContext context = makeContext(list, view);
    CHECK(locate(context, OrganisationId("o"), random).addresses == std::vector<std::string>{"127.0.0.1:8001"});
    context.isSelfLeaving = true;
    CHECK(locate(context, OrganisationId("o"), random).addresses == std::vector<std::string>{"127.0.0.1:8001"});
}
