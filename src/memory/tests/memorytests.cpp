// Tests of the decisions about memory that is held for callers.
#include "memory/bodyadmission.h"
#include "memory/memoryaccount.h"
#include "memory/stalledcallers.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::memory;

namespace
{

/** Memory of the small machines of the deployments. */
constexpr Bytes smallMachine{160'000'000};
constexpr std::size_t streams = 2000;
constexpr MonoTime start = MonoTime{} + std::chrono::hours(1);

BodyRequest makeBody(std::uint64_t size)
{
    BodyRequest request;
    request.size = Bytes{size};
    request.deadline = Milliseconds(1200);
    return request;
}

} // namespace

TEST_CASE("without a memory limit streams, bodies and callers are treated as before")
{
    const MemoryLimits limits = memoryLimits(Bytes{0});
    MemoryAccount account(limits);
    account.add(MemoryKind::Output, Bytes{10'000'000'000});
    CHECK_FALSE(account.isShort());
    CHECK(streamLimit(limits, account.held(), streams) == 256 * 1024);
    BodyRequest body = makeBody(5'000'000);
    body.held = account.held();
    CHECK(decideBody(limits, body).action == BodyAction::Read);
}

TEST_CASE("slow readers of 2,000 streams that each read once more after the shortage stay below the ceiling")
{
    const MemoryLimits limits = memoryLimits(smallMachine);
    MemoryAccount account(limits);
    std::vector<std::size_t> pending(streams);
    // Nobody reads; each upstream sends as much as is read from it, one read of 16 KiB at a time.
    bool isReading = true;
    while (isReading) {
        isReading = false;
        for (std::size_t &it : pending) {
            if (it <= streamLimit(limits, account.held(), streams)) {
                it += minStreamBytes;
                account.add(MemoryKind::Output, Bytes{minStreamBytes});
                isReading = true;
            }
        }
        REQUIRE(account.held() <= limits.ceiling);
    }
    CHECK(account.isShort());
    CHECK(limits.ceiling < smallMachine);
}

TEST_CASE("bodies of 5 MB that arrive together are read only as far as memory for all of each is free")
{
    const MemoryLimits limits = memoryLimits(smallMachine);
    MemoryAccount account(limits);
    std::size_t readCount = 0;
    for (std::size_t i = 0; i < streams; ++i) {
        BodyRequest body = makeBody(5'000'000);
        body.held = account.held();
        const BodyDecision decision = decideBody(limits, body);
        if (decision.action == BodyAction::Read) {
            ++readCount;
            account.add(MemoryKind::Body, body.size);
        } else {
            // Nothing becomes free, so waiting would only use up the caller's time.
            CHECK(decision.action == BodyAction::Refuse);
            CHECK(decision.time <= Milliseconds(400));
        }
        REQUIRE(account.held() <= limits.ceiling);
    }
    CHECK(readCount == limits.shortage.count() / 5'000'000);
}

TEST_CASE("a body waits while enough memory becomes free within the time that its caller leaves it unread")
{
    const MemoryLimits limits = memoryLimits(smallMachine);
    BodyRequest body = makeBody(5'000'000);
    body.held = limits.shortage;
    body.releaseRate = 50e6;
    const BodyDecision decision = decideBody(limits, body);
    CHECK(decision.action == BodyAction::Wait);
    CHECK(decision.time <= Milliseconds(400));
    body.ahead = Bytes{100'000'000};
    CHECK(decideBody(limits, body).action == BodyAction::Refuse);
    body.ahead = Bytes{0};
    body.waited = Milliseconds(400);
    CHECK(decideBody(limits, body).action == BodyAction::Refuse);
    body.waited = Milliseconds(0);
    body.size = Bytes{limits.shortage.count() + 1};
    CHECK(decideBody(limits, body).action == BodyAction::Refuse);
}

TEST_CASE("small bodies are read while memory is short")
{
    const MemoryLimits limits = memoryLimits(smallMachine);
    BodyRequest body = makeBody(1000);
    body.held = limits.ceiling;
    CHECK(decideBody(limits, body).action == BodyAction::Read);
}

TEST_CASE("callers that read nothing are disconnected, the largest first, and callers that read slowly are kept")
{
    const Milliseconds limit{4000};
    const std::vector<CallerOutput> callers{{Bytes{100}, Milliseconds(9000), limit},
        {Bytes{5000}, Milliseconds(3999), limit}, {Bytes{300}, Milliseconds(4001), limit},
        {Bytes{0}, Milliseconds(60'000), limit}};
    CHECK(callersToDisconnect(callers, Bytes{0}).empty());
    CHECK(callersToDisconnect(callers, Bytes{1}) == std::vector<std::size_t>{2});
    CHECK(callersToDisconnect(callers, Bytes{10'000}) == std::vector<std::size_t>{2, 0});
}

TEST_CASE("the rate at which memory becomes free fades when nothing more does")
{
    MemoryAccount account(memoryLimits(smallMachine));
    account.add(MemoryKind::Body, Bytes{10'000'000});
    for (int i = 0; i < 100; ++i) {
        account.remove(MemoryKind::Body, Bytes{100'000}, start + Milliseconds(100 * i));
    }
    const MonoTime end = start + Milliseconds(10'000);
    CHECK(account.held().count() == 0);
    // 1 MB per second became free.
    CHECK(account.releaseRate(end) == Approx(1e6).epsilon(0.1));
    CHECK(account.releaseRate(end + Milliseconds(10'000)) < 1000);
}
