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
    DataCentreId evacuatedDataCentre(const std::string &key) const override
    {
        return DataCentreId(key);
    }
    std::string evacuationKey(const DataCentreId &dataCentre) const override
    {
        return dataCentre.value();
    }
};

/** Decodes every item as an upstream that is ready. */
class UpstreamDecoder : public EmptyDecoder
{
public:
    ItemKind kindOf(const std::string & /*key*/) const override
    {
        return ItemKind::Upstream;
    }
    std::optional<catalogue::UpstreamEntry> decodeUpstream(const StoreItem &item) const override
    {
        catalogue::UpstreamEntry entry;
        entry.id = UpstreamId(item.key);
        return entry;
    }
};

/** Answers within the call with one change per watch up to `lastRevision`; later watches stay open. */
class FakeStore : public IStoreClient
{
public:
    void readPage(const std::string & /*afterKey*/, std::function<void(Result<StorePage>)> done) override
    {
        ++readCount;
        StorePage page;
        page.position = {era, 1};
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
        changes.items.push_back({"k", "", revision + 1, false, era});
        changes.position = {era, revision + 1};
        done(changes);
    }
    void cancelWatch() override
    {
        pendingWatch = nullptr;
    }
    void check(std::uint64_t revision, std::function<void(Result<StoreChanges>)> done) override
    {
        ++checkCount;
        if (isSilent) {
            return;
        }
        StoreChanges changes;
        changes.position = {era, lastRevision};
        if (revision < lastRevision) {
            changes.items.push_back({"k", "", lastRevision, false, era});
        }
        done(changes);
    }

    std::uint64_t era = 0;
    int readCount = 0;
    int checkCount = 0;
    /** Checks are not answered. */
    bool isSilent = false;
    std::uint64_t lastRevision = 1;
    std::size_t failingWatchNumber = 0;
    std::vector<std::uint64_t> watchedRevisions;
    std::function<void(Result<StoreChanges>)> pendingWatch;
};

void runUntil(
    eventloop::EventLoop &loop, const std::function<bool()> &isDone, Milliseconds timeout = Milliseconds(5000))
{
    if (isDone()) {
        return;
    }
    const eventloop::TimerId timeoutTimer = loop.after(timeout, [&loop] {
        loop.stop();
    });
    std::function<void()> check = [&] {
        if (isDone()) {
            loop.stop();
            return;
        }
        loop.after(Milliseconds(1), check);
    };
    check();
    loop.run();
    loop.cancel(timeoutTimer);
}

/** Runs the loop until a watch stays open. */
void runUntilWatchWaits(eventloop::EventLoop &loop, const FakeStore &store)
{
    runUntil(loop, [&] {
        return store.pendingWatch != nullptr;
    });
}

StoreReaderCallbacks makeCallbacks()
{
    return {[](const auto &) {}, [] {},
        [] {
            return std::size_t{1};
        }};
}

StoreReaderParameters makeParameters()
{
    StoreReaderParameters parameters;
    // So long that a test which waits for it fails.
    parameters.batchDelay = Milliseconds(3'600'000);
    parameters.minRetryDelay = Milliseconds(1);
    parameters.maxRetryDelay = Milliseconds(1);
    parameters.check.interval = Milliseconds(1);
    parameters.check.minSpread = Milliseconds(1);
    parameters.watchRenewalDelay = Milliseconds(1);
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
    StoreReader reader(loop, store, state, 1, makeCallbacks(), makeParameters());
    reader.start();
    runUntilWatchWaits(loop, store);
    CHECK(store.pendingWatch);
    CHECK(store.watchedRevisions.back() == 9);
}

TEST_CASE("one cut watch does not delay the removal of an upstream")
{
    eventloop::EventLoop loop;
    const UpstreamDecoder decoder;
    PublishedState state(decoder);
    FakeStore store;
    StoreReader reader(loop, store, state, 1, makeCallbacks(), makeParameters());
    reader.start();
    runUntilWatchWaits(loop, store);
    state.apply({"u", "", 2, false}, loop.now());
    REQUIRE(state.upstreams().size() == 1);
    std::exchange(store.pendingWatch, nullptr)(makeError(ResultCode::PlatformUnavailable, "cut"));
    REQUIRE_FALSE(reader.isConnected());
    runUntil(loop, [&] {
        return reader.isConnected();
    });
    state.apply({"u", "", 3, true}, loop.now());
    CHECK(state.upstreams().empty());
}

TEST_CASE("an outage in which leases may expire delays the removal of an upstream")
{
    eventloop::EventLoop loop;
    const UpstreamDecoder decoder;
    PublishedState state(decoder);
    FakeStore store;
    StoreReaderParameters parameters = makeParameters();
    parameters.check.interval = Milliseconds(40);
    parameters.minOutage = Milliseconds(30);
    StoreReader reader(loop, store, state, 1, makeCallbacks(), parameters);
    reader.start();
    runUntilWatchWaits(loop, store);
    state.apply({"u", "", 2, false}, loop.now());
    REQUIRE(state.upstreams().size() == 1);
    std::exchange(store.pendingWatch, nullptr)(makeError(ResultCode::PlatformUnavailable, "down"));
    REQUIRE_FALSE(reader.isConnected());
    runUntil(loop, [&] {
        return reader.isConnected();
    });
    state.apply({"u", "", 3, true}, loop.now());
    CHECK(state.upstreams().size() == 1);
}

TEST_CASE("after a watch that waited for a change, the next call is delayed")
{
    eventloop::EventLoop loop;
    const EmptyDecoder decoder;
    PublishedState state(decoder);
    FakeStore store;
    StoreReaderParameters parameters = makeParameters();
    parameters.caughtUpWait = Milliseconds(0);
    StoreReader reader(loop, store, state, 1, makeCallbacks(), parameters);
    reader.start();
    REQUIRE(store.pendingWatch);
    const auto callsBefore = reader.callCount();
    StoreChanges changes;
    changes.items.push_back({"k", "", 2, false});
    changes.position = {0, 2};
    std::exchange(store.pendingWatch, nullptr)(changes);
    CHECK(reader.callCount() == callsBefore);
}

TEST_CASE("a watch whose answer was lost is replaced once a check finds a change that it has not returned")
{
    eventloop::EventLoop loop;
    const EmptyDecoder decoder;
    PublishedState state(decoder);
    FakeStore store;
    StoreReader reader(loop, store, state, 1, makeCallbacks(), makeParameters());
    reader.start();
    REQUIRE(store.watchedRevisions.back() == 1);
    store.lastRevision = 2;
    runUntil(loop, [&] {
        return store.watchedRevisions.back() == 2;
    });
    CHECK(store.watchedRevisions.back() == 2);
    CHECK(state.position().revision == 2);
}

TEST_CASE("a watch that lacks a change which a peer has announced is replaced, and not again for the same change")
{
    eventloop::EventLoop loop;
    const EmptyDecoder decoder;
    PublishedState state(decoder);
    FakeStore store;
    StoreReaderParameters parameters = makeParameters();
    parameters.check.interval = Milliseconds(3'600'000);
    parameters.minRenewalInterval = Milliseconds(3'600'000);
    StoreReader reader(loop, store, state, 1, makeCallbacks(), parameters);
    reader.start();
    const auto isReplaced = [&] {
        return store.watchedRevisions.size() == 2;
    };
    reader.onPeerConfirmation({0, 7}, loop.now());
    runUntil(loop, isReplaced);
    REQUIRE(isReplaced());
    reader.onPeerConfirmation({0, 7}, loop.now());
    runUntil(
        loop,
        [] {
            return false;
        },
        Milliseconds(30));
    CHECK(store.watchedRevisions.size() == 2);
}

TEST_CASE("everything is read again when an answer shows that the store came back older")
{
    eventloop::EventLoop loop;
    const EmptyDecoder decoder;
    PublishedState state(decoder);
    FakeStore store;
    store.era = 4;
    StoreReader reader(loop, store, state, 1, makeCallbacks(), makeParameters());
    reader.start();
    REQUIRE(store.readCount == 1);
    store.era = 5;
    runUntil(loop, [&] {
        return store.readCount == 2;
    });
    CHECK(store.readCount == 2);
    CHECK(state.position() == StorePosition{5, 1});
    CHECK(store.pendingWatch);
}

TEST_CASE("everything is read again when a peer has seen a later era of the store")
{
    eventloop::EventLoop loop;
    const EmptyDecoder decoder;
    PublishedState state(decoder);
    FakeStore store;
    store.era = 4;
    StoreReaderParameters parameters = makeParameters();
    parameters.check.interval = Milliseconds(3'600'000);
    StoreReader reader(loop, store, state, 1, makeCallbacks(), parameters);
    reader.start();
    store.era = 5;
    reader.onPeerConfirmation({5, 1}, loop.now());
    runUntil(loop, [&] {
        return store.readCount == 2;
    });
    CHECK(store.readCount == 2);
    CHECK(state.position().era == 5);
}

TEST_CASE("a confirmation of a peer delays the next check and is not passed on")
{
    eventloop::EventLoop loop;
    const EmptyDecoder decoder;
    PublishedState state(decoder);
    FakeStore store;
    StoreReader reader(loop, store, state, 1, makeCallbacks(), makeParameters());
    reader.start();
    const MonoTime confirmedAt = reader.confirmedAt();
    reader.onPeerConfirmation({0, 1}, loop.now() + Milliseconds(3'600'000));
    runUntil(
        loop,
        [] {
            return false;
        },
        Milliseconds(30));
    CHECK(store.checkCount == 0);
    CHECK(reader.confirmedAt() == confirmedAt);
}

namespace
{

/** Keeps the attempts open until the test answers them. */
class SilentStore : public FakeStore
{
public:
    void attemptRead(std::function<void(Result<StorePage>)> done) override
    {
        attempts.push_back(std::move(done));
    }
    bool isAttemptReceiving() const override
    {
        return isReceiving;
    }
    void cancelAttempts() override
    {
        areAttemptsCancelled = true;
    }

    std::vector<std::function<void(Result<StorePage>)>> attempts;
    bool isReceiving = false;
    bool areAttemptsCancelled = false;
};

StoreReaderParameters makeStartupParameters()
{
    StoreReaderParameters parameters = makeParameters();
    parameters.startup.minInterval = Milliseconds(2);
    parameters.startup.fleetInterval = Milliseconds(1);
    parameters.startup.minGap = Milliseconds(1);
    return parameters;
}

} // namespace

TEST_CASE("an instance without an answer opens fresh attempts while an earlier one hangs, and takes the first answer")
{
    // A connection that was opened while the store was silent is never answered.
    eventloop::EventLoop loop;
    const EmptyDecoder decoder;
    PublishedState state(decoder);
    SilentStore store;
    int checkedCount = 0;
    StoreReaderCallbacks callbacks = makeCallbacks();
    callbacks.onChecked = [&] {
        ++checkedCount;
    };
    StoreReader reader(loop, store, state, 1, callbacks, makeStartupParameters());
    reader.start();
    runUntil(loop, [&] {
        return store.attempts.size() >= 3;
    });
    REQUIRE(store.attempts.size() >= 3);
    CHECK(store.readCount == 0);
    StorePage page;
    page.position = {0, 1};
    store.attempts[1](makeError(ResultCode::PlatformUnavailable, "busy"));
    CHECK_FALSE(reader.isConnected());
    store.attempts[2](page);
    CHECK(reader.isConnected());
    CHECK(state.isComplete());
    CHECK(store.areAttemptsCancelled);
    // Peers are told, so that they read the store as well.
    CHECK(checkedCount == 1);
    CHECK(store.watchedRevisions.size() == 1);
    // A late answer of the hanging attempt changes nothing.
    store.attempts[0](page);
    CHECK(store.watchedRevisions.size() == 1);
}

TEST_CASE("no attempt is added while the answer of another is arriving")
{
    eventloop::EventLoop loop;
    const EmptyDecoder decoder;
    PublishedState state(decoder);
    SilentStore store;
    StoreReader reader(loop, store, state, 1, makeCallbacks(), makeStartupParameters());
    reader.start();
    REQUIRE(store.attempts.size() == 1);
    store.isReceiving = true;
    runUntil(
        loop,
        [] {
            return false;
        },
        Milliseconds(30));
    CHECK(store.attempts.size() == 1);
    CHECK(reader.callCount() == 1);
    store.isReceiving = false;
    runUntil(loop, [&] {
        return store.attempts.size() == 2;
    });
    CHECK(store.attempts.size() == 2);
}

TEST_CASE("an instance that waits for its next attempt makes it when a peer has had an answer")
{
    eventloop::EventLoop loop;
    const EmptyDecoder decoder;
    PublishedState state(decoder);
    SilentStore store;
    StoreReaderParameters parameters = makeStartupParameters();
    // Without the peer the next attempt would come after an hour.
    parameters.startup.minGap = Milliseconds(3'600'000);
    StoreReader reader(loop, store, state, 1, makeCallbacks(), parameters);
    reader.start();
    REQUIRE(store.attempts.size() == 1);
    reader.onPeerConfirmation({0, 0}, loop.now() + Milliseconds(1));
    runUntil(loop, [&] {
        return store.attempts.size() == 2;
    });
    CHECK(store.attempts.size() == 2);
}
