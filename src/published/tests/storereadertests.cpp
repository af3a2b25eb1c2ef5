// The pace at which changes are read.
#include "published/storereader.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::published;

namespace
{

/** Knows no item, so that only the calls count. */
class EmptyDecoder : public IItemDecoder
{
public:
    ItemKind kindOf(const std::string & /*key*/) const override
    {
        return ItemKind::Other;
    }
    std::optional<catalogue::Catalogue> decodeConfiguration(const StoreItem & /*item*/) const override
    {
        return std::nullopt;
    }
    std::optional<catalogue::UpstreamEntry> decodeUpstream(const StoreItem & /*item*/) const override
    {
        return std::nullopt;
    }
};

/** Answers inside the call: one change a watch up to `lastRevision`; then nothing more comes. */
class FakeStore : public IStoreClient
{
public:
    void readPage(const std::string & /*afterKey*/, std::function<void(Result<StorePage>)> done) override
    {
        StorePage page;
        page.revision = 1;
        done(page);
    }
    void watch(std::uint64_t revision, Milliseconds /*wait*/, std::function<void(Result<StoreChanges>)> done) override
    {
        watchedFrom.push_back(revision);
        if (watchedFrom.size() == failingWatch) {
            done(makeError(ResultCode::PlatformUnavailable, "silent"));
            return;
        }
        if (revision >= lastRevision) {
            waiting = std::move(done);
            return;
        }
        StoreChanges changes;
        changes.items.push_back({"k", "", revision + 1, false});
        changes.revision = revision + 1;
        done(changes);
    }

    std::uint64_t lastRevision = 1;
    std::size_t failingWatch = 0;
    std::vector<std::uint64_t> watchedFrom;
    std::function<void(Result<StoreChanges>)> waiting;
};

/** Serves until the store's watch waits, or until nothing more is to be expected. */
void runUntilWaiting(eventloop::EventLoop &loop, FakeStore &store)
{
    constexpr Milliseconds longEnough{1000};
    const eventloop::TimerId guard = loop.after(longEnough, [&loop] {
        loop.stop();
    });
    std::function<void()> check = [&] {
        if (store.waiting) {
            loop.stop();
            return;
        }
        loop.after(Milliseconds(1), check);
    };
    check();
    if (!store.waiting) {
        loop.run();
    }
    loop.cancel(guard);
}

StoreReaderParameters makeParameters()
{
    StoreReaderParameters parameters;
    // So long that a test in which it is waited for cannot go on.
    parameters.batchDelay = Milliseconds(3'600'000);
    parameters.minRetryDelay = Milliseconds(1);
    parameters.maxRetryDelay = Milliseconds(1);
    return parameters;
}

} // namespace

TEST_CASE("changes missed while the store was out of reach are read without pauses between them")
{
    // Seen on a day of 65 instances: eight changes came one a call, 400 ms after each other, behind a silence of 3 s.
    eventloop::EventLoop loop;
    const EmptyDecoder decoder;
    PublishedState state(decoder);
    FakeStore store;
    store.lastRevision = 9;
    store.failingWatch = 1;
    StoreReader reader(
        loop, store, state, 1, [](const auto &) {}, makeParameters());
    reader.start();
    runUntilWaiting(loop, store);
    CHECK(store.waiting);
    CHECK(store.watchedFrom.back() == 9);
}

TEST_CASE("a change that a watch has waited for is followed by the pause for series")
{
    eventloop::EventLoop loop;
    const EmptyDecoder decoder;
    PublishedState state(decoder);
    FakeStore store;
    StoreReaderParameters parameters = makeParameters();
    parameters.caughtUpWait = Milliseconds(0);
    StoreReader reader(
        loop, store, state, 1, [](const auto &) {}, parameters);
    reader.start();
    REQUIRE(store.waiting);
    const auto calls = reader.callCount();
    StoreChanges changes;
    changes.items.push_back({"k", "", 2, false});
    changes.revision = 2;
    std::exchange(store.waiting, nullptr)(changes);
    CHECK(reader.callCount() == calls);
}
