// Tests of the decision for requests that arrive while an instance has no configuration.
#include "gateway/internal/startupadmission.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;

namespace
{

StartupRequest makeRequest(Milliseconds deadline)
{
    StartupRequest request;
    request.sinceStart = Milliseconds(400);
    request.deadline = deadline;
    request.size = Bytes{1000};
    request.maxHeldSize = Bytes{10'000};
    return request;
}

} // namespace

TEST_CASE(
    "a connection is left unread for less than the third of the shortest deadline, from the start of the instance")
{
    Random random(1);
    StartupRequest request;
    request.isRead = false;
    for (const int sinceStart : {0, 100, 299}) {
        request.sinceStart = Milliseconds(sinceStart);
        const StartupDecision decision = decideAtStartup(request, random);
        CHECK(decision.action == StartupAction::LeaveUnread);
        CHECK((request.sinceStart + decision.time).count() <= 1000 / 3);
    }
    request.sinceStart = Milliseconds(300);
    CHECK(decideAtStartup(request, random).action != StartupAction::LeaveUnread);
}

TEST_CASE("a caller is held for as long as it would wait after a refusal, and never until it leaves")
{
    // Callers wait at most a third of their time for another attempt, and leave a silent stream after 2 s.
    Random random(1);
    const Milliseconds deadline{GENERATE(100, 1000, 1200, 15'000, 600'000)};
    StartupRequest request = makeRequest(deadline);
    request.unreadTime = Milliseconds(GENERATE(0, 60));
    const Milliseconds maxHold = (std::min(deadline, Milliseconds(2000)) - request.unreadTime) / 3;
    Milliseconds held{0};
    StartupDecision decision = decideAtStartup(request, random);
    REQUIRE(decision.action == StartupAction::Hold);
    while (decision.action == StartupAction::Hold) {
        held += decision.time;
        REQUIRE(held <= maxHold);
        request.sinceRead = held;
        decision = decideAtStartup(request, random);
    }
    CHECK(decision.action == StartupAction::Refuse);
    CHECK(held > maxHold - Milliseconds(2));
}

TEST_CASE("a refused caller gets a Retry-After that it honours, for any deadline")
{
    Random random(GENERATE(1, 2, 3));
    const Milliseconds deadline{GENERATE(10, 1000, 1200, 15'000)};
    StartupRequest request = makeRequest(deadline);
    request.unreadTime = Milliseconds(GENERATE(0, 300));
    request.sinceRead = deadline / 3;
    request.sinceStart = Milliseconds(GENERATE(300, 2000, 60'000));
    const StartupDecision decision = decideAtStartup(request, random);
    REQUIRE(decision.action == StartupAction::Refuse);
    const Milliseconds remaining = std::max(Milliseconds(0), deadline - request.unreadTime - request.sinceRead);
    CHECK(decision.time <= remaining / 3);
    CHECK(decision.time >= Milliseconds(0));
}

TEST_CASE("a request is refused at once if it is relayed, states no deadline or does not fit into the memory")
{
    Random random(1);
    StartupRequest relayed = makeRequest(Milliseconds(1000));
    relayed.isRelayed = true;
    CHECK(decideAtStartup(relayed, random).action == StartupAction::Refuse);
    StartupRequest large = makeRequest(Milliseconds(1000));
    large.heldSize = Bytes{9001};
    CHECK(decideAtStartup(large, random).action == StartupAction::Refuse);
    StartupRequest endless = makeRequest(Milliseconds(1000));
    endless.deadline.reset();
    const StartupDecision decision = decideAtStartup(endless, random);
    CHECK(decision.action == StartupAction::Refuse);
    CHECK(decision.time >= Milliseconds(300));
    CHECK(decision.time <= Milliseconds(450));
}
