// Tests of the delays between reads of the store.
#include "published/storereader.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::published;

namespace
{

/** Decodes no item; the tests check only the calls. */
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

/** Answers within the call with one change per watch up to `lastRevision`; later watches stay open. */
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
        watchedRevisions.push_back(revision);
        if (watchedRevisions.size() == failingWatchNumber) {
            done(makeError(ResultCode::PlatformUnavailable, "silent"));
            return;
        }
        if (revision >= lastRevision) {
            pendingWatch = std::move(done);
            return;
        }
        StoreChanges changes;
        changes.items.push_back({"k", "", revision + 1, false});
        changes.revision = revision + 1;
        done(changes);
    }

    std::uint64_t lastRevision = 1;
    std::size_t failingWatchNumber = 0;
    std::vector<std::uint64_t> watchedRevisions;
    std::function<void(Result<StoreChanges>)> pendingWatch;
};

/** Runs the loop until a watch stays open, or for one second. */
void runUntilWatchWaits(eventloop::EventLoop &loop, FakeStore &store)
{
    constexpr Milliseconds timeout{1000};
    const eventloop::TimerId timeoutTimer = loop.after(timeout, [&loop] {
        loop.stop();
    });
    std::function<void()> check = [&] {
        if (store.pendingWatch) {
            loop.stop();
            return;
        }
        loop.after(Milliseconds(1), check);
    };
    check();
    if (!store.pendingWatch) {
        loop.run();
    }
    loop.cancel(timeoutTimer);
}

StoreReaderParameters makeParameters()
{
    StoreReaderParameters parameters;
    // So long that a test which waits for it fails.
    parameters.batchDelay = Milliseconds(3'600'000);
    parameters.minRetryDelay = Milliseconds(1);
    parameters.maxRetryDelay = Milliseconds(1);
    return parameters;
}

} // namespace

TEST_CASE("changes missed while the store was unreachable are read without delays")
{
    // In a fleet of 65 instances, after 3 s without the store, eight changes came in one call each, 400 ms apart.
    eventloop::EventLoop loop;
    const EmptyDecoder decoder;
    PublishedState state(decoder);
    FakeStore store;
    store.lastRevision = 9;
    store.failingWatchNumber = 1;
    StoreReader reader(
        loop, store, state, 1, [](const auto &) {}, makeParameters());
    reader.start();
    runUntilWatchWaits(loop, store);
    CHECK(store.pendingWatch);
    CHECK(store.watchedRevisions.back() == 9);
}

TEST_CASE("after a watch that waited for a change, the next call is delayed")
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
    REQUIRE(store.pendingWatch);
    const auto callsBefore = reader.callCount();
    StoreChanges changes;
    changes.items.push_back({"k", "", 2, false});
    changes.revision = 2;
    std::exchange(store.pendingWatch, nullptr)(changes);
    CHECK(reader.callCount() == callsBefore);
}
