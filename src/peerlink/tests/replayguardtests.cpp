// Each authenticated message is accepted at most once, in any order of arrival.
#include "framework/testing/schedule.h"
#include "peerlink/replayguard.h"

#include <catch2/catch.hpp>

#include <limits>
#include <set>
#include <vector>

using namespace magnolia;
using namespace magnolia::peerlink;

namespace
{

const WallTime start{Milliseconds(1'700'000'000'000)};
const PeerLinkParameters parameters;

Envelope message(std::uint64_t sequence, std::uint64_t incarnation = 10, Milliseconds sentAfter = Milliseconds(0))
{
    Envelope envelope;
    envelope.sender = InstanceId("e1");
    envelope.senderIncarnation = Incarnation(incarnation);
    envelope.sequence = sequence;
    envelope.sentAtMs = (start + sentAfter).time_since_epoch().count();
    return envelope;
}

bool isAccepted(ReplayGuard &guard, const Envelope &envelope, Milliseconds after = Milliseconds(0))
{
    const auto result = acceptOnce(guard, envelope, start + after, parameters);
    if (!result) {
        CHECK(result.error().code == ResultCode::PeerMessageReplayed);
    }
    return result.has_value();
}

} // namespace

TEST_CASE("a message seen before is refused, and one that arrives out of order is accepted")
{
    ReplayGuard guard;
    CHECK(isAccepted(guard, message(5)));
    CHECK(isAccepted(guard, message(3)));
    CHECK_FALSE(isAccepted(guard, message(5)));
    CHECK_FALSE(isAccepted(guard, message(3)));
    CHECK(isAccepted(guard, message(6)));
}

TEST_CASE("a message older than the window is refused, as it may be a replay")
{
    ReplayGuard guard;
    CHECK(isAccepted(guard, message(ReplayWindow::size + 100)));
    CHECK_FALSE(isAccepted(guard, message(100)));
    CHECK(isAccepted(guard, message(101)));
}

TEST_CASE("a message of an earlier incarnation is refused while the later one may still be replayed")
{
    ReplayGuard guard;
    CHECK(isAccepted(guard, message(1, 10)));
    CHECK(isAccepted(guard, message(1, 11)));
    CHECK_FALSE(isAccepted(guard, message(2, 10)));
}

TEST_CASE("a restart with the wall clock set back is accepted when the earlier messages are too old to be replayed")
{
    ReplayGuard guard;
    CHECK(isAccepted(guard, message(1, 11)));
    const Milliseconds later = parameters.maxMessageAge + Milliseconds(1);
    CHECK_FALSE(isAccepted(guard, message(1, 10, Milliseconds(10)), Milliseconds(10)));
    CHECK(isAccepted(guard, message(1, 10, later), later));
}

TEST_CASE("a message sent too long ago or too far in the future is refused")
{
    ReplayGuard guard;
    const Milliseconds bound = parameters.maxMessageAge;
    CHECK_FALSE(isAccepted(guard, message(1), bound + Milliseconds(1)));
    CHECK_FALSE(isAccepted(guard, message(2, 10, bound + Milliseconds(1))));
    CHECK(isAccepted(guard, message(3), bound));
    CHECK(guard.senders.size() == 1);
    Envelope extreme = message(4);
    extreme.sentAtMs = std::numeric_limits<std::int64_t>::min();
    CHECK_FALSE(isAccepted(guard, extreme));
    extreme.sentAtMs = std::numeric_limits<std::int64_t>::max();
    CHECK_FALSE(isAccepted(guard, extreme));
}

TEST_CASE("a message that the previous incarnation of this instance may have accepted is refused")
{
    ReplayGuard guard;
    guard.notBefore = start;
    CHECK_FALSE(isAccepted(guard, message(1, 10, Milliseconds(-1))));
    CHECK(isAccepted(guard, message(2)));
}

TEST_CASE("the number of tracked senders is bounded, and inactive ones are removed")
{
    PeerLinkParameters few;
    few.maxSenders = 2;
    ReplayGuard guard;
    for (const char *name : {"a", "b", "c"}) {
        Envelope envelope = message(1);
        envelope.sender = InstanceId(name);
        CHECK(acceptOnce(guard, envelope, start, few).has_value() == (std::string(name) != "c"));
    }
    const Milliseconds later = few.maxMessageAge + Milliseconds(1);
    Envelope envelope = message(1, 10, later);
    envelope.sender = InstanceId("c");
    CHECK(acceptOnce(guard, envelope, start + later, few));
    CHECK(guard.senders.size() == 1);
}

TEST_CASE("no message is accepted twice in any seeded order of arrival")
{
    magnolia::testing::forEachSeed(10000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        ReplayGuard guard;
        std::set<std::pair<std::uint64_t, std::uint64_t>> accepted;
        std::uint64_t base = 1;
        bool isAcceptedTwice = false;
        for (int i = 0; i < 100; ++i) {
            base += random.below(random.chance(0.05) ? 3000 : 4);
            const std::uint64_t sequence = base - std::min(base, random.below(random.chance(0.1) ? 2000 : 20));
            const std::uint64_t incarnation = 10 + random.below(1 + static_cast<std::uint64_t>(i) / 40);
            if (isAccepted(guard, message(sequence, incarnation))) {
                isAcceptedTwice = isAcceptedTwice || !accepted.emplace(incarnation, sequence).second;
            }
        }
        REQUIRE_FALSE(isAcceptedTwice);
        REQUIRE_FALSE(accepted.empty());
    });
}
