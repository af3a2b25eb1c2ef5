// Tests of the order in which answers are read while memory is short.
#include "memory/answerorder.h"
#include "memory/memoryaccount.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace magnolia;
using namespace magnolia::memory;

namespace
{

constexpr Bytes machine{160'000'000};
constexpr Bytes answerSize{8'000'000};
/** Between the memory from which on answers take turns, and the ceiling. */
constexpr Bytes shortMemory{65'000'000};
constexpr MonoTime start = MonoTime{} + std::chrono::hours(1);

} // namespace

TEST_CASE("all answers are read while memory is not short, and without a limit")
{
    MemoryAccount account(memoryLimits(machine));
    AnswerOrder order(account);
    const auto first = order.add();
    const auto second = order.add();
    order.recordBytes(first, answerSize);
    order.recordBytes(second, Bytes{1});
    CHECK_FALSE(order.isInForce());
    CHECK(order.mayRead(first, start));
    CHECK(order.mayRead(second, start));
    MemoryAccount unlimited(memoryLimits(Bytes{0}));
    unlimited.add(MemoryKind::Output, Bytes{10'000'000'000});
    AnswerOrder unlimitedOrder(unlimited);
    CHECK_FALSE(unlimitedOrder.isInForce());
    CHECK(unlimitedOrder.mayRead(unlimitedOrder.add(), start));
}

TEST_CASE("while memory is short, only the answer with the fewest bytes to come is read")
{
    MemoryAccount account(memoryLimits(machine));
    account.add(MemoryKind::Output, shortMemory);
    AnswerOrder order(account);
    const auto large = order.add();
    const auto small = order.add();
    order.recordBytes(large, answerSize);
    order.recordBytes(small, Bytes{1000});
    CHECK(order.isInForce());
    CHECK(order.mayRead(small, start));
    CHECK_FALSE(order.mayRead(large, start));
    SECTION("the next one follows when it has ended")
    {
        order.remove(small);
        CHECK(order.mayRead(large, start));
    }
    SECTION("the next one follows while its upstream sends nothing")
    {
        CHECK_FALSE(order.mayRead(large, start + Milliseconds(90)));
        CHECK(order.mayRead(large, start + Milliseconds(110)));
        order.recordBytes(small, Bytes{500});
        CHECK(order.mayRead(small, start + Milliseconds(115)));
        CHECK_FALSE(order.mayRead(large, start + Milliseconds(120)));
    }
    SECTION("the order follows the bytes that arrive")
    {
        order.recordBytes(large, Bytes{10});
        CHECK(order.mayRead(large, start));
        CHECK_FALSE(order.mayRead(small, start));
    }
}

TEST_CASE("no answer is read that does not fit below the ceiling")
{
    const MemoryLimits limits = memoryLimits(machine);
    MemoryAccount account(limits);
    account.add(MemoryKind::Output, limits.ceiling - Bytes{1000});
    AnswerOrder order(account);
    const auto answer = order.add();
    order.recordBytes(answer, Bytes{1001});
    CHECK_FALSE(order.mayRead(answer, start));
    account.remove(MemoryKind::Output, Bytes{1}, start);
    CHECK(order.mayRead(answer, start));
}

TEST_CASE("answers of any sizes become complete one after the other, below the ceiling")
{
    const MemoryLimits limits = memoryLimits(machine);
    MemoryAccount account(limits);
    AnswerOrder order(account);
    constexpr std::size_t answerCount = 40;
    constexpr Bytes readSize{16 * 1024};
    struct Answer
    {
        AnswerOrder::AnswerId id = 0;
        Bytes left;
        Bytes held;
    };
    std::vector<Answer> answers;
    for (std::size_t i = 0; i < answerCount; ++i) {
        answers.push_back({order.add(), Bytes{4'000'000 + 100'000 * i}, {}});
        order.recordBytes(answers.back().id, answers.back().left);
    }
    constexpr int maxRounds = 100'000;
    MonoTime now = start;
    for (int round = 0; round < maxRounds && !answers.empty(); ++round, now += Milliseconds(1)) {
        for (Answer &it : answers) {
            if (order.mayRead(it.id, now)) {
                const Bytes size = std::min(readSize, it.left);
                it.left -= size;
                it.held += size;
                account.add(MemoryKind::Output, size);
                order.recordBytes(it.id, it.left);
            }
        }
        REQUIRE(account.held() <= limits.ceiling);
        std::erase_if(answers, [&](const Answer &it) {
            if (it.left.count() > 0) {
                return false;
            }
            order.remove(it.id);
            account.remove(MemoryKind::Output, it.held, now);
            return true;
        });
    }
    CHECK(answers.empty());
}
