// Tests of the decision when to fetch the published state from a peer.
#include "fleet/internal/fetchdelay.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::fleet;

namespace
{

OwnState makeOwn()
{
    return {true, false, false, 5, {0, 100}, true, true, {}, {}};
}

Peer makePeer(std::uint64_t version, std::uint64_t revision)
{
    Peer peer;
    peer.configurationVersion = version;
    peer.storePosition = {0, revision};
    return peer;
}

} // namespace

TEST_CASE("nothing is fetched from a peer that has nothing newer")
{
    CHECK_FALSE(fetchDelay(makeOwn(), makePeer(5, 100)));
    CHECK_FALSE(fetchDelay(makeOwn(), makePeer(4, 90)));
}

TEST_CASE("without the store the state is fetched at once from a peer that is ahead")
{
    OwnState own = makeOwn();
    own.isStoreConnected = false;
    CHECK(fetchDelay(own, makePeer(5, 101)) == Milliseconds(0));
    CHECK(fetchDelay(own, makePeer(6, 100)) == Milliseconds(0));
}

TEST_CASE("with a connected store the state is fetched from a peer that is ahead after a delay")
{
    // In a fleet of 65 instances a watch hung on a silent connection for 3 s, and requests were still sent to an
    // upstream that was leaving.
    const auto delay = fetchDelay(makeOwn(), makePeer(5, 101));
    REQUIRE(delay);
    CHECK(*delay > Milliseconds(400));
    CHECK(*delay <= Milliseconds(1000));
    const auto forConfiguration = fetchDelay(makeOwn(), makePeer(6, 101));
    REQUIRE(forConfiguration);
    CHECK(*forConfiguration < *delay);
}

TEST_CASE("a scheduled fetch is dropped if the store has answered since")
{
    const MonoTime noticedAt{std::chrono::seconds(100)};
    OwnState own = makeOwn();
    own.storeAnsweredAt = noticedAt + Milliseconds(10);
    CHECK_FALSE(isFetchNeeded(own, makePeer(5, 101), noticedAt));
    own.storeAnsweredAt = noticedAt - Milliseconds(10);
    CHECK(isFetchNeeded(own, makePeer(5, 101), noticedAt));
    CHECK_FALSE(isFetchNeeded(own, makePeer(5, 100), noticedAt));
    // A new configuration has a time limit of its own and is fetched nevertheless.
    own.storeAnsweredAt = noticedAt + Milliseconds(10);
    CHECK(isFetchNeeded(own, makePeer(6, 101), noticedAt));
    own.isStoreConnected = false;
    CHECK(isFetchNeeded(own, makePeer(5, 101), noticedAt));
}

TEST_CASE("during the first read of the store the fetch is delayed by more than one second")
{
    OwnState own;
    own.isStoreConnected = true;
    const auto delay = fetchDelay(own, makePeer(5, 100));
    REQUIRE(delay);
    CHECK(*delay > Milliseconds(1000));
}

TEST_CASE("an instance without any state fetches it only from a peer that has a configuration")
{
    OwnState own;
    CHECK(fetchDelay(own, makePeer(5, 100)) == Milliseconds(0));
    CHECK_FALSE(fetchDelay(own, makePeer(0, 0)));
    own.isStoreConnected = true;
    CHECK(fetchDelay(own, makePeer(5, 100)));
}

TEST_CASE("a peer of a later era of the store is ahead, whatever its revision")
{
    Peer peer = makePeer(5, 3);
    peer.storePosition.era = 1;
    CHECK(fetchDelay(makeOwn(), peer));
    OwnState own = makeOwn();
    own.storePosition = {1, 3};
    CHECK_FALSE(fetchDelay(own, makePeer(5, 100)));
}
