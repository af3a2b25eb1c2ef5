// The sequence of reads and watches.
#include "published/storereader.h"

#include "framework/logging/log.h"

#include <algorithm>

namespace magnolia::published
{

StoreReader::StoreReader(eventloop::EventLoop &loop, IStoreClient &client, PublishedState &state, std::uint64_t seed,
    EffectHandler onEffect, StoreReaderParameters parameters)
    : m_loop(loop)
    , m_client(client)
    , m_state(state)
    , m_random(seed)
    , m_onEffect(std::move(onEffect))
    , m_parameters(parameters)
{
}

void StoreReader::start()
{
    if (m_isWatching) {
        watch();
        return;
    }
    m_pages.clear();
    readNext({});
}

bool StoreReader::isConnected() const
{
    return m_isConnected;
}

MonoTime StoreReader::heardAt() const
{
    return m_heardAt;
}

std::uint64_t StoreReader::calls() const
{
    return m_calls;
}

void StoreReader::readNext(const std::string &afterKey)
{
    ++m_calls;
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
    if (m_pages.empty()) {
        // Pages are no snapshot: what changed while they were read comes again with the watch from the first.
        m_firstPageRevision = page->revision;
    }
    m_pages.insert(m_pages.end(), page->items.begin(), page->items.end());
    if (page->hasMore && !page->items.empty()) {
        readNext(page->items.back().key);
        return;
    }
    m_onEffect(m_state.applyAll(m_pages, m_firstPageRevision, m_loop.now()));
    m_pages.clear();
    m_watchFrom = m_firstPageRevision;
    m_isWatching = true;
    watch();
}

void StoreReader::watch()
{
    ++m_calls;
    m_watchedAt = m_loop.now();
    m_client.watch(m_watchFrom, m_parameters.watchTime, [this](const Result<StoreChanges> &changes) {
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
        logging::write(logging::Level::Info, "published", "history_lost", {{"revision", m_watchFrom}});
        m_isWatching = false;
        start();
        return;
    }
    PublishedState::Effect effect;
    for (const StoreItem &item : changes->items) {
        effect.add(m_state.apply(item, m_loop.now()));
    }
    m_watchFrom = std::max(m_watchFrom, changes->revision);
    m_onEffect(effect);
    m_isCatchingUp = m_isCatchingUp && m_loop.now() - m_watchedAt < m_parameters.caughtUpAfter;
    if (changes->items.empty() || m_isCatchingUp) {
        watch();
        return;
    }
    m_loop.after(m_parameters.seriesTime, [this] {
        watch();
    });
}

void StoreReader::onSuccess()
{
    m_pause = m_parameters.firstPause;
    m_heardAt = m_loop.now();
    if (!m_isConnected) {
        logging::write(logging::Level::Info, "published", "store_reached", {});
        if (m_wasConnected) {
            m_state.storeReturned(m_loop.now());
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
    m_pages.clear();
    const Milliseconds pause = std::max(m_pause, m_parameters.firstPause);
    m_pause = std::min(pause * 2, m_parameters.longestPause);
    const auto jitter = static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(pause.count()) + 1));
    m_loop.after(pause + Milliseconds(jitter), [this] {
        start();
    });
}

} // namespace magnolia::published
