// Keeps the published state up to date with the store: attempts until the store first answers, one full read, then
// watches for changes, and short checks that find watches whose answers were lost. The instances of a fleet share the
// checks.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/global/random.h"
#include "published/istoreclient.h"
#include "published/publishedstate.h"
#include "published/startupreadschedule.h"
#include "published/storecheckschedule.h"

#include <functional>
#include <string>
#include <string_view>
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
    /**
     * Shortest time without the store in which leases may expire. A connection that was cut for less, such as a watch,
     * is no reason to keep entries that are missing afterwards.
     */
    Milliseconds minOutage{2000};
    StoreCheckParameters check;
    StartupReadParameters startup;
    /** Time in which an open watch returns a change that is known from elsewhere; without it the watch is replaced. */
    Milliseconds watchRenewalDelay{150};
    /** Minimum time between two replacements of the watch for the same revision. */
    Milliseconds minRenewalInterval{3000};
};

struct StoreReaderCallbacks
{
    /** Called after each answer of the store, with the parts of the state that it has changed. */
    std::function<void(const PublishedState::ChangeFlags &)> onChange;
    /** Called after a successful check, so that peers learn of it. */
    std::function<void()> onChecked;
    /** Returns the number of instances that share the checks and the attempts of a start, including this one. */
    std::function<std::size_t()> instanceCount;
};

class StoreReader
{
public:
    StoreReader(eventloop::EventLoop &loop, IStoreClient &client, PublishedState &state, std::uint64_t seed,
        StoreReaderCallbacks callbacks, StoreReaderParameters parameters = {});

    void start();
    /** Records that the store had no change after `position` at the time `at`, as a peer has announced. */
    void onPeerConfirmation(const StorePosition &position, MonoTime at);
    /** Returns whether the last call succeeded. */
    [[nodiscard]] bool isConnected() const;
    /** Returns the time of the last successful call. */
    [[nodiscard]] MonoTime lastAnswerAt() const;
    /**
     * Returns the latest time at which a call of this instance showed that it knew all that the store had. What peers
     * have announced does not count: passed on from one to the next, it would become younger by the delay of each
     * message.
     */
    [[nodiscard]] MonoTime confirmedAt() const;
    /** Returns the number of calls made so far. */
    [[nodiscard]] std::uint64_t callCount() const;

private:
    /** Reads the first page as an attempt; used until the store has answered once. */
    void attempt();
    void scheduleAttempt();
    void onAttemptAnswer(const Result<StorePage> &page);
    void readNextPage(const std::string &afterKey);
    void onPage(const Result<StorePage> &page);
    void watch();
    void onChanges(const Result<StoreChanges> &changes);
    /** Applies the changes; returns false if the store no longer has them all and everything is read again. */
    bool applyChanges(const StoreChanges &changes);
    /** Reads everything again, since the changes after the watched position are not all to be had. */
    void readAgain(std::string_view reason, const StorePosition &found);
    void onFailure(const Error &error);
    void onSuccess();
    void markLost(const Error &error);
    void confirm(MonoTime at);
    void scheduleCheck();
    void check();
    void onCheckAnswer(const Result<StoreChanges> &changes);
    /** Replaces the open watch after `delay` unless it has returned by then. */
    void scheduleRenewal(Milliseconds delay);
    [[nodiscard]] Milliseconds jitter(Milliseconds max);

    eventloop::EventLoop &m_loop;
    IStoreClient &m_client;
    PublishedState &m_state;
    Random m_random;
    StoreReaderCallbacks m_callbacks;
    StoreReaderParameters m_parameters;
    std::vector<StoreItem> m_readItems;
    // Position of the first page of the read in progress; the later pages must be of the same era.
    StorePosition m_firstPagePosition;
    StorePosition m_watchPosition;
    MonoTime m_watchStartedAt{};
    MonoTime m_lastAnswerAt{};
    // After a failure, missed changes are read without delays until a watch has to wait.
    bool m_isCatchingUp = true;
    // Whether a full read is done, so that only changes are needed.
    bool m_isWatching = false;
    bool m_isConnected = false;
    bool m_wasConnected = false;
    // Whether the store has ever answered this instance.
    bool m_hasAnswer = false;
    StartupReadSchedule m_startup;
    std::uint64_t m_callCount = 0;
    Milliseconds m_retryDelay{0};
    StoreCheckSchedule m_checks;
    MonoTime m_confirmedAt{};
    // Number of the latest watch; a renewal that was planned for an earlier one is void.
    std::uint64_t m_watchNumber = 0;
    bool m_isWatchOpen = false;
    bool m_isCheckOpen = false;
    // The next read or watch, after a failure or a change; only one of these calls is open or planned at a time.
    eventloop::TimerId m_nextCallTimer = 0;
    eventloop::TimerId m_checkTimer = 0;
    eventloop::TimerId m_renewalTimer = 0;
    // Number of the watch for which the renewal is planned.
    std::uint64_t m_renewalWatchNumber = 0;
    // Highest position for which the watch was replaced, and when.
    StorePosition m_renewedForPosition;
    MonoTime m_renewedAt{};
};

} // namespace magnolia::published
