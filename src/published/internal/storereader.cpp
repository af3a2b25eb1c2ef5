// Implements the sequence of reads, watches and checks.
#include "published/storereader.h"

#include "framework/logging/log.h"

#include <algorithm>

namespace magnolia::published
{

StoreReader::StoreReader(eventloop::EventLoop &loop, IStoreClient &client, PublishedState &state, std::uint64_t seed,
    StoreReaderCallbacks callbacks, StoreReaderParameters parameters)
    : m_loop(loop)
    , m_client(client)
    , m_state(state)
    , m_random(seed)
    , m_callbacks(std::move(callbacks))
    , m_parameters(parameters)
    , m_startup(parameters.startup)
    , m_checks(parameters.check)
{
}

void StoreReader::start()
{
    m_loop.cancel(m_nextCallTimer);
    if (m_isWatching) {
        watch();
        return;
    }
    m_readItems.clear();
    if (!m_hasAnswer) {
        attempt();
        return;
    }
    readNextPage({});
}

void StoreReader::attempt()
{
    // Another attempt would only take bandwidth from an answer that is arriving.
    if (!m_client.isAttemptReceiving()) {
        ++m_callCount;
        m_startup.onAttempt(m_loop.now(), m_random);
        m_client.attemptRead([this](const Result<StorePage> &page) {
            onAttemptAnswer(page);
        });
    }
    if (!m_hasAnswer) {
        scheduleAttempt();
    }
}

void StoreReader::scheduleAttempt()
{
    // The number of instances that are heard changes, so the time is computed again at least this often.
    constexpr Milliseconds maxWait{100};
    const Milliseconds wait
        = toMilliseconds(m_startup.dueAt(m_callbacks.instanceCount(), m_loop.now()) - m_loop.now()) + Milliseconds(1);
    m_loop.cancel(m_nextCallTimer);
    m_nextCallTimer = m_loop.after(std::clamp(wait, Milliseconds(1), maxWait), [this] {
        if (m_loop.now() >= m_startup.dueAt(m_callbacks.instanceCount(), m_loop.now())) {
            attempt();
        } else {
            scheduleAttempt();
        }
    });
}

void StoreReader::onAttemptAnswer(const Result<StorePage> &page)
{
    // A failed attempt is followed by the next one at its time.
    if (m_hasAnswer || !page) {
        return;
    }
    m_hasAnswer = true;
    m_loop.cancel(m_nextCallTimer);
    m_client.cancelAttempts();
    onPage(page);
}

bool StoreReader::isConnected() const
{
    return m_isConnected;
}

MonoTime StoreReader::lastAnswerAt() const
{
    return m_lastAnswerAt;
}

MonoTime StoreReader::confirmedAt() const
{
    return m_confirmedAt;
}

std::uint64_t StoreReader::callCount() const
{
    return m_callCount;
}

void StoreReader::readNextPage(const std::string &afterKey)
{
    ++m_callCount;
    m_client.readPage(afterKey, [this](const Result<StorePage> &page) {
        onPage(page);
    });
}

void StoreReader::onPage(const Result<StorePage> &page)
{
    if (!page) {
        onFailure(page.error());
        return;
    }
    onSuccess();
    if (m_readItems.empty()) {
        // The pages are not a consistent snapshot: changes made during the read come with a watch from the first
        // revision.
        m_firstPagePosition = page->position;
    } else if (page->position.era != m_firstPagePosition.era) {
        readAgain("era", page->position);
        return;
    }
    m_readItems.insert(m_readItems.end(), page->items.begin(), page->items.end());
    if (page->hasMore && !page->items.empty()) {
        readNextPage(page->items.back().key);
        return;
    }
    const auto changes = m_state.applyAll(m_readItems, m_firstPagePosition, m_loop.now());
    m_readItems.clear();
    m_watchPosition = m_firstPagePosition;
    m_isWatching = true;
    // After a start of all instances the first answer tells the others that they can read the store as well.
    const bool isFirstToKnow = m_confirmedAt == MonoTime{} && !m_startup.isAnsweringPeers(m_loop.now());
    m_confirmedAt = m_loop.now();
    confirm(m_confirmedAt);
    if (isFirstToKnow) {
        // Before the changes: the longer messages that follow from them would fill the link first.
        m_callbacks.onChecked();
    }
    m_callbacks.onChange(changes);
    watch();
}

void StoreReader::watch()
{
    ++m_callCount;
    m_watchStartedAt = m_loop.now();
    ++m_watchNumber;
    m_isWatchOpen = true;
    m_client.watch(m_watchPosition.revision, m_parameters.watchTimeout, [this](const Result<StoreChanges> &changes) {
        onChanges(changes);
    });
}

bool StoreReader::applyChanges(const StoreChanges &changes)
{
    if (changes.isHistoryLost || changes.position.era != m_watchPosition.era) {
        readAgain(changes.isHistoryLost ? "history" : "era", changes.position);
        return false;
    }
    PublishedState::ChangeFlags flags;
    for (const StoreItem &item : changes.items) {
        flags.add(m_state.apply(item, m_loop.now()));
    }
    m_watchPosition = std::max(m_watchPosition, changes.position);
    m_callbacks.onChange(flags);
    m_confirmedAt = m_loop.now();
    confirm(m_confirmedAt);
    return true;
}

void StoreReader::readAgain(std::string_view reason, const StorePosition &found)
{
    logging::write(logging::Level::Info, "published", "history_lost",
        {{"revision", m_watchPosition.revision}, {"era", m_watchPosition.era}, {"found_era", found.era},
            {"reason", reason}});
    if (found.era != m_watchPosition.era) {
        // Entries that were written after the copy was made are written again, as after an expired lease.
        m_state.onStoreReconnected(m_loop.now());
    }
    if (m_isWatchOpen) {
        m_client.cancelWatch();
        m_isWatchOpen = false;
    }
    m_isWatching = false;
    start();
}

void StoreReader::onChanges(const Result<StoreChanges> &changes)
{
    m_isWatchOpen = false;
    if (!changes) {
        onFailure(changes.error());
        return;
    }
    onSuccess();
    if (!applyChanges(*changes)) {
        return;
    }
    m_isCatchingUp = m_isCatchingUp && m_loop.now() - m_watchStartedAt < m_parameters.caughtUpWait;
    if (changes->items.empty() || m_isCatchingUp) {
        watch();
        return;
    }
    m_nextCallTimer = m_loop.after(m_parameters.batchDelay, [this] {
        watch();
    });
}

void StoreReader::onSuccess()
{
    m_retryDelay = m_parameters.minRetryDelay;
    m_lastAnswerAt = m_loop.now();
    if (!m_isConnected) {
        logging::write(logging::Level::Info, "published", "store_reached", {});
        if (m_wasConnected && m_loop.now() - m_checks.confirmedAt() >= m_parameters.minOutage) {
            m_state.onStoreReconnected(m_loop.now());
        }
    }
    m_isConnected = true;
    m_wasConnected = true;
}

void StoreReader::markLost(const Error &error)
{
    if (m_isConnected) {
        logging::write(
            logging::Level::Warning, "published", "store_lost", {{"detail", std::string_view(error.detail)}});
    }
    m_isConnected = false;
    m_isCatchingUp = true;
}

void StoreReader::onFailure(const Error &error)
{
    markLost(error);
    m_readItems.clear();
    const Milliseconds delay = std::max(m_retryDelay, m_parameters.minRetryDelay);
    m_retryDelay = std::min(delay * 2, m_parameters.maxRetryDelay);
    m_nextCallTimer = m_loop.after(delay + jitter(delay), [this] {
        start();
    });
}

Milliseconds StoreReader::jitter(Milliseconds max)
{
    return Milliseconds(static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(max.count()) + 1)));
}

void StoreReader::onPeerConfirmation(const StorePosition &position, MonoTime at)
{
    if (!m_hasAnswer && m_startup.onPeerAnswered(at, m_loop.now(), m_random)) {
        scheduleAttempt();
    }
    if (position <= m_state.position()) {
        confirm(at);
    }
    const bool isNewReason
        = position > m_renewedForPosition || m_loop.now() - m_renewedAt > m_parameters.minRenewalInterval;
    if (position > m_watchPosition && isNewReason) {
        m_renewedForPosition = position;
        m_renewedAt = m_loop.now();
        scheduleRenewal(m_parameters.watchRenewalDelay + jitter(m_parameters.watchRenewalDelay));
    }
}

void StoreReader::confirm(MonoTime at)
{
    if (m_checks.onConfirmed(at, m_callbacks.instanceCount(), m_random)) {
        // Leases may have expired meanwhile, and the open watch may be one whose answer was lost.
        m_state.onStoreReconnected(m_loop.now());
        scheduleRenewal(jitter(m_parameters.watchRenewalDelay));
    }
    scheduleCheck();
}

void StoreReader::scheduleCheck()
{
    if (m_checkTimer != 0) {
        return;
    }
    m_checkTimer = m_loop.after(toMilliseconds(m_checks.dueAt() - m_loop.now()) + Milliseconds(1), [this] {
        m_checkTimer = 0;
        // A confirmation since then has moved the check.
        if (m_loop.now() >= m_checks.dueAt()) {
            check();
        }
        scheduleCheck();
    });
}

void StoreReader::check()
{
    if (!m_isWatchOpen || m_isCheckOpen) {
        // Another call is under way or about to begin, and its answer will tell the same.
        m_checks.onNotConfirmed(m_loop.now(), m_callbacks.instanceCount(), m_random);
        return;
    }
    ++m_callCount;
    m_isCheckOpen = true;
    m_checks.onNotConfirmed(m_loop.now(), m_callbacks.instanceCount(), m_random);
    m_client.check(m_watchPosition.revision, [this](const Result<StoreChanges> &changes) {
        m_isCheckOpen = false;
        onCheckAnswer(changes);
    });
}

void StoreReader::onCheckAnswer(const Result<StoreChanges> &changes)
{
    if (!changes) {
        m_checks.onNotConfirmed(m_loop.now(), m_callbacks.instanceCount(), m_random);
        if (m_checks.isSilent(m_loop.now())) {
            markLost(changes.error());
        }
        return;
    }
    if (!m_isWatching) {
        return;
    }
    onSuccess();
    if (!applyChanges(*changes)) {
        return;
    }
    if (!changes->items.empty()) {
        scheduleRenewal(m_parameters.watchRenewalDelay);
    }
    m_callbacks.onChecked();
}

void StoreReader::scheduleRenewal(Milliseconds delay)
{
    if (m_renewalTimer != 0 && m_renewalWatchNumber == m_watchNumber) {
        return;
    }
    m_loop.cancel(m_renewalTimer);
    m_renewalWatchNumber = m_watchNumber;
    m_renewalTimer = m_loop.after(delay, [this, number = m_watchNumber] {
        m_renewalTimer = 0;
        if (!m_isWatchOpen || number != m_watchNumber) {
            return;
        }
        if (m_renewedForPosition.era > m_watchPosition.era) {
            readAgain("era", m_renewedForPosition);
            return;
        }
        logging::write(logging::Level::Info, "published", "watch_renewed",
            {{"revision", m_watchPosition.revision},
                {"open_ms", std::int64_t{toMilliseconds(m_loop.now() - m_watchStartedAt).count()}}});
        m_client.cancelWatch();
        watch();
    });
}

} // namespace magnolia::published
