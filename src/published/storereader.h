// Keeps the published state up to date with the store: one full read, then watches for changes.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/global/random.h"
#include "published/istoreclient.h"
#include "published/publishedstate.h"

#include <functional>
#include <string>
#include <vector>

namespace magnolia::published
{

struct StoreReaderParameters
{
    /** Time limit of one watch; the store allows 30 s. A silent connection is detected by its keep-alives. */
    Milliseconds watchTimeout{25'000};
    /**
     * Wait after a change, so that the next call returns several of a series. It is well below the specified times
     * after which a change has to be in force and a leaving upstream must get no more requests.
     */
    Milliseconds batchDelay{400};
    /** A watch that waited this long had no missed changes to return; an answer takes a tenth of it. */
    Milliseconds caughtUpWait{50};
    /**
     * Delay before a retry; doubles with each failure up to `maxRetryDelay`, plus up to as much at random. Each call
     * has a cost, even if the store refuses it.
     */
    Milliseconds minRetryDelay{150};
    Milliseconds maxRetryDelay{800};
};

class StoreReader
{
public:
    using ChangeHandler = std::function<void(const PublishedState::ChangeFlags &)>;

    StoreReader(eventloop::EventLoop &loop, IStoreClient &client, PublishedState &state, std::uint64_t seed,
        ChangeHandler onChange, StoreReaderParameters parameters = {});

    void start();
    /** Returns whether the last call succeeded. */
    [[nodiscard]] bool isConnected() const;
    /** Returns the time of the last successful call. */
    [[nodiscard]] MonoTime lastAnswerAt() const;
    /** Returns the number of calls made so far. */
    [[nodiscard]] std::uint64_t callCount() const;

private:
    void readNextPage(const std::string &afterKey);
    void onPage(const Result<StorePage> &page);
    void watch();
    void onChanges(const Result<StoreChanges> &changes);
    void onFailure(const Error &error);
    void onSuccess();

    eventloop::EventLoop &m_loop;
    IStoreClient &m_client;
    PublishedState &m_state;
    Random m_random;
    ChangeHandler m_onChange;
    StoreReaderParameters m_parameters;
    std::vector<StoreItem> m_readItems;
    std::uint64_t m_firstPageRevision = 0;
    std::uint64_t m_watchRevision = 0;
    MonoTime m_watchStartedAt{};
    MonoTime m_lastAnswerAt{};
    // After a failure, missed changes are read without delays until a watch has to wait.
    bool m_isCatchingUp = true;
    // Whether a full read is done, so that only changes are needed.
    bool m_isWatching = false;
    bool m_isConnected = false;
    bool m_wasConnected = false;
    std::uint64_t m_callCount = 0;
    Milliseconds m_retryDelay{0};
};

} // namespace magnolia::published
