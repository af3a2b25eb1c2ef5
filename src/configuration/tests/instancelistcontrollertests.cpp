// Tests that the list never reverts to a lower revision, and that the later generated of two equal revisions is kept.
#include "configuration/instancelistcontroller.h"
#include "configuration/listfreshness.h"
#include "framework/global/systemclock.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace magnolia;
using namespace magnolia::configuration;

namespace
{

PublishedList listOf(std::uint64_t revision, std::int64_t generatedMs)
{
    PublishedList list;
    list.revision = revision;
    list.generatedAt = WallTime(Milliseconds(generatedMs));
    return list;
}

/**
 * Replica 0 is up to date and changes at each read, replica 1 is stale, replica 2 is down. Hand-written fake: Catch
 * counts each call of a mock as an assertion, which is not thread-safe.
 */
class FakeList : public ports::IInstanceList
{
public:
    [[nodiscard]] std::size_t replicaCount() const override
    {
        return 3;
    }
    [[nodiscard]] Result<PublishedList> read(std::size_t first) override
    {
        switch (first) {
        case 0:
            return listOf(7, ++m_readCount);
        case 1:
            return listOf(6, 1'000'000);
        default:
            return makeError(ResultCode::PlatformUnavailable, "down");
        }
    }

private:
    std::int64_t m_readCount = 0;
};

template <typename Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < 500; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return false;
}

} // namespace

TEST_CASE("a list is fresher by its revision, then by its generation time")
{
    CHECK(isFresher(listOf(2, 100), listOf(1, 200)));
    CHECK_FALSE(isFresher(listOf(1, 200), listOf(2, 100)));
    CHECK(isFresher(listOf(2, 101), listOf(2, 100)));
    CHECK_FALSE(isFresher(listOf(2, 100), listOf(2, 100)));
    CHECK_FALSE(isFresher(listOf(2, 99), listOf(2, 100)));
    CHECK(isFresher(listOf(1, 0), PublishedList()));
}

TEST_CASE("a stale replica and a failing one do not revert the list")
{
    Blackboard blackboard;
    const SystemClock clock;
    FakeList fake;
    InstanceListController controller(blackboard, fake, clock, {Milliseconds(5), Milliseconds(10)}, 1);
    controller.start();
    bool hasReverted = false;
    WallTime last{};
    CHECK(eventually([&] {
        const auto list = blackboard.publishedList.read();
        hasReverted = hasReverted || list->generatedAt < last || (list->revision != 7 && last != WallTime());
        last = list->generatedAt;
        return controller.readCount() > 60;
    }));
    controller.stop();
    CHECK_FALSE(hasReverted);
    const auto list = blackboard.publishedList.read();
    CHECK(list->revision == 7);
    CHECK(list->generatedAt > WallTime(Milliseconds(10)));
    CHECK(list->readAt != MonoTime());
}
