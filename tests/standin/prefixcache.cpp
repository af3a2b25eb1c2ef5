// LRU cache of prefixes and its event log.
#include "standin/prefixcache.h"

#include "standin/exchange.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia::standin
{

namespace
{

// Every event whose sequence number is a multiple of this is dropped, to simulate lost events.
constexpr std::uint64_t eventLossPeriod = 7;
constexpr std::size_t maxEvents = 4096;

} // namespace

void PrefixCache::touch(std::uint64_t prefix, MonoTime now)
{
    const std::lock_guard lock(m_mutex);
    const auto it = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    if (it != m_prefixes.end()) {
        m_prefixes.splice(m_prefixes.begin(), m_prefixes, it);
        return;
    }
    m_prefixes.push_front(prefix);
    addEvent(true, prefix, now);
    if (m_prefixes.size() > m_capacity) {
        addEvent(false, m_prefixes.back(), now);
        m_prefixes.pop_back();
    }
}

nlohmann::json PrefixCache::eventsAfter(std::uint64_t after, MonoTime now) const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json rows = nlohmann::json::array();
    std::uint64_t next = after;
    for (const Event &it : m_events) {
        if (it.seq <= after || it.time + m_eventDelay > now) {
            continue;
        }
        rows.push_back({{"seq", it.seq}, {"kind", it.isStored ? "stored" : "evicted"}, {"prefix", toHex(it.prefix)}});
        next = it.seq;
    }
    return {{"events", std::move(rows)}, {"next", next}};
}

void PrefixCache::addEvent(bool isStored, std::uint64_t prefix, MonoTime now)
{
    ++m_lastSeq;
    if (m_lastSeq % eventLossPeriod == 0) {
        return;
    }
    if (m_events.size() == maxEvents) {
        m_events.erase(m_events.begin(), m_events.begin() + maxEvents / 2);
    }
    m_events.push_back({m_lastSeq, isStored, prefix, now});
}

} // namespace magnolia::standin
