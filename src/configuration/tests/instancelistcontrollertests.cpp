// The list never goes to a lower revision, and of equal ones the later made stays.
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
 * Replica 0 is fresh and moves on, replica 1 stays stale, replica 2 is down. Hand-written, since Catch counts each call
 * of a mock as a check, which is not safe from other threads.
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

TEST_CASE("a list is fresher by revision, then by the time it was made")
{
    CHECK(isFresher(listOf(2, 100), listOf(1, 200)));
    CHECK_FALSE(isFresher(listOf(1, 200), listOf(2, 100)));
    CHECK(isFresher(listOf(2, 101), listOf(2, 100)));
    CHECK_FALSE(isFresher(listOf(2, 100), listOf(2, 100)));
    CHECK_FALSE(isFresher(listOf(2, 99), listOf(2, 100)));
    CHECK(isFresher(listOf(1, 0), PublishedList()));
}

TEST_CASE("a stale replica and a failure do not take the list back")
{
    Blackboard blackboard;
    const SystemClock clock;
    FakeList fake;
    InstanceListController controller(blackboard, fake, clock, {Milliseconds(5), Milliseconds(10)}, 1);
    controller.start();
    bool hasGoneBack = false;
    WallTime last{};
    CHECK(eventually([&] {
        const auto list = blackboard.publishedList.read();
        hasGoneBack = hasGoneBack || list->generatedAt < last || (list->revision != 7 && last != WallTime());
        last = list->generatedAt;
        return controller.readCount() > 60;
    }));
    controller.stop();
    CHECK_FALSE(hasGoneBack);
    const auto list = blackboard.publishedList.read();
    CHECK(list->revision == 7);
    CHECK(list->generatedAt > WallTime(Milliseconds(10)));
    CHECK(list->readAt != MonoTime());
}
