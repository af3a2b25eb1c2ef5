// Implements the sequence of reads and watches.
#include "published/storereader.h"

#include "framework/logging/log.h"

#include <algorithm>

namespace magnolia::published
{

StoreReader::StoreReader(eventloop::EventLoop &loop, IStoreClient &client, PublishedState &state, std::uint64_t seed,
    ChangeHandler onChange, StoreReaderParameters parameters)
    : m_loop(loop)
    , m_client(client)
    , m_state(state)
    , m_random(seed)
    , m_onChange(std::move(onChange))
    , m_parameters(parameters)
{
}

void StoreReader::start()
{
    if (m_isWatching) {
        watch();
        return;
    }
    m_readItems.clear();
    readNextPage({});
}

bool StoreReader::isConnected() const
{
    return m_isConnected;
}

MonoTime StoreReader::lastAnswerAt() const
{
    return m_lastAnswerAt;
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
        m_firstPageRevision = page->revision;
    }
    m_readItems.insert(m_readItems.end(), page->items.begin(), page->items.end());
    if (page->hasMore && !page->items.empty()) {
        readNextPage(page->items.back().key);
        return;
    }
    m_onChange(m_state.applyAll(m_readItems, m_firstPageRevision, m_loop.now()));
    m_readItems.clear();
    m_watchRevision = m_firstPageRevision;
    m_isWatching = true;
    watch();
}

void StoreReader::watch()
{
    ++m_callCount;
    m_watchStartedAt = m_loop.now();
    m_client.watch(m_watchRevision, m_parameters.watchTimeout, [this](const Result<StoreChanges> &changes) {
        onChanges(changes);
    });
}

void StoreReader::onChanges(const Result<StoreChanges> &changes)
{
    if (!changes) {
        onFailure(changes.error());
        return;
    }
    onSuccess();
    if (changes->isHistoryLost) {
        logging::write(logging::Level::Info, "published", "history_lost", {{"revision", m_watchRevision}});
        m_isWatching = false;
        start();
        return;
    }
    PublishedState::ChangeFlags flags;
    for (const StoreItem &item : changes->items) {
        flags.add(m_state.apply(item, m_loop.now()));
    }
    m_watchRevision = std::max(m_watchRevision, changes->revision);
    m_onChange(flags);
    m_isCatchingUp = m_isCatchingUp && m_loop.now() - m_watchStartedAt < m_parameters.caughtUpWait;
    if (changes->items.empty() || m_isCatchingUp) {
        watch();
        return;
    }
    m_loop.after(m_parameters.batchDelay, [this] {
        watch();
    });
}

void StoreReader::onSuccess()
{
    m_retryDelay = m_parameters.minRetryDelay;
    m_lastAnswerAt = m_loop.now();
    if (!m_isConnected) {
        logging::write(logging::Level::Info, "published", "store_reached", {});
        if (m_wasConnected) {
            m_state.onStoreReconnected(m_loop.now());
        }
    }
    m_isConnected = true;
    m_wasConnected = true;
}

void StoreReader::onFailure(const Error &error)
{
    if (m_isConnected) {
        logging::write(
            logging::Level::Warning, "published", "store_lost", {{"detail", std::string_view(error.detail)}});
    }
    m_isConnected = false;
    m_isCatchingUp = true;
    m_readItems.clear();
    const Milliseconds delay = std::max(m_retryDelay, m_parameters.minRetryDelay);
    m_retryDelay = std::min(delay * 2, m_parameters.maxRetryDelay);
    const auto jitter = static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(delay.count()) + 1));
    m_loop.after(delay + Milliseconds(jitter), [this] {
        start();
    });
}

} // namespace magnolia::published
