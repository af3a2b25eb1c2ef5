// Keeps the published state up to date from the store: reads all once, then waits for changes.
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
    /** A watch is asked anew after this; the store allows 30 s. A silent connection is found by its keep-alives. */
    Milliseconds watchTimeout{25'000};
    /** Changes come in series; so long is waited after one for others to come with the next call. Well within the
        published times in which a change has to be in force, and an upstream that leaves gets nothing more. */
    Milliseconds batchDelay{400};
    /** A watch that waited this long had told all: ten times what an answer takes. */
    Milliseconds caughtUpWait{50};
    /** After a failure; doubled up to the longest, with as much again at random. Calls are priced, refused ones too. */
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
    /** Whether the last call succeeded. */
    [[nodiscard]] bool isConnected() const;
    /** When a call last succeeded. */
    [[nodiscard]] MonoTime lastAnswerAt() const;
    /** Calls made so far. */
    [[nodiscard]] std::uint64_t callCount() const;

private:
    void readNext(const std::string &afterKey);
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
    std::vector<StoreItem> m_pages;
    std::uint64_t m_firstPageRevision = 0;
    std::uint64_t m_watchFrom = 0;
    MonoTime m_watchedAt{};
    MonoTime m_lastAnswerAt{};
    // After a break changes may have been missed; they are read without pauses until a watch has to wait.
    bool m_isCatchingUp = true;
    // Whether all was read once, so that only changes are needed.
    bool m_isWatching = false;
    bool m_isConnected = false;
    bool m_wasConnected = false;
    std::uint64_t m_callCount = 0;
    Milliseconds m_retryDelay{0};
};

} // namespace magnolia::published
