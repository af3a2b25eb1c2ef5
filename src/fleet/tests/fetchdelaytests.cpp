// When a peer is asked for what this instance lacks.
#include "fleet/internal/fetchdelay.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::fleet;

namespace
{

OwnState makeOwn()
{
    return {true, false, 5, 100, true, true, {}};
}

Peer makePeer(std::uint64_t version, std::uint64_t revision)
{
    Peer peer;
    peer.configurationVersion = version;
    peer.storeRevision = revision;
    return peer;
}

} // namespace

TEST_CASE("a peer that is not ahead is not asked")
{
    CHECK_FALSE(fetchDelay(makeOwn(), makePeer(5, 100)));
    CHECK_FALSE(fetchDelay(makeOwn(), makePeer(4, 90)));
}

TEST_CASE("without the store a peer that is ahead is asked at once")
{
    OwnState own = makeOwn();
    own.isStoreConnected = false;
    CHECK(fetchDelay(own, makePeer(5, 101)) == Milliseconds(0));
    CHECK(fetchDelay(own, makePeer(6, 100)) == Milliseconds(0));
}

TEST_CASE("a peer that is ahead is asked also while the store seems reached, once the store had time to tell")
{
    // Seen on a day of 65 instances: a watch lay on a silent connection for 3 s, and an upstream that was leaving was
    // still given requests.
    const auto delay = fetchDelay(makeOwn(), makePeer(5, 101));
    REQUIRE(delay);
    CHECK(*delay > Milliseconds(400));
    CHECK(*delay <= Milliseconds(1000));
    const auto forConfiguration = fetchDelay(makeOwn(), makePeer(6, 101));
    REQUIRE(forConfiguration);
    CHECK(*forConfiguration < *delay);
}

TEST_CASE("a store that has answered meanwhile is not doubted")
{
    const MonoTime noticedAt{std::chrono::seconds(100)};
    OwnState own = makeOwn();
    own.storeAnsweredAt = noticedAt + Milliseconds(10);
    CHECK_FALSE(isFetchNeeded(own, makePeer(5, 101), noticedAt));
    own.storeAnsweredAt = noticedAt - Milliseconds(10);
    CHECK(isFetchNeeded(own, makePeer(5, 101), noticedAt));
    CHECK_FALSE(isFetchNeeded(own, makePeer(5, 100), noticedAt));
    // A configuration has a bound of its own, and is not waited for.
    own.storeAnsweredAt = noticedAt + Milliseconds(10);
    CHECK(isFetchNeeded(own, makePeer(6, 101), noticedAt));
    own.isStoreConnected = false;
    CHECK(isFetchNeeded(own, makePeer(5, 101), noticedAt));
}

TEST_CASE("an instance that reads the store page by page is left to it for a while")
{
    OwnState own;
    own.isStoreConnected = true;
    const auto delay = fetchDelay(own, makePeer(5, 100));
    REQUIRE(delay);
    CHECK(*delay > Milliseconds(1000));
}

TEST_CASE("an instance that knows nothing yet asks whoever knows a configuration")
{
    OwnState own;
    CHECK(fetchDelay(own, makePeer(5, 100)) == Milliseconds(0));
    CHECK_FALSE(fetchDelay(own, makePeer(0, 0)));
    own.isStoreConnected = true;
    CHECK(fetchDelay(own, makePeer(5, 100)));
}
