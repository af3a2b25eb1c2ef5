// Prefix cache of an engine and its event log, in which events become visible with a delay and some are missing.
#pragma once

#include "framework/global/types/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <vector>

namespace magnolia::standin
{

class PrefixCache
{
public:
    PrefixCache(std::size_t capacity, Milliseconds eventDelay)
        : m_capacity(capacity)
        , m_eventDelay(eventDelay)
    {
    }

    /** Marks a prefix as most recently used. If it is new, stores it; beyond the capacity, evicts the least recently
     * used one. */
    void touch(std::uint64_t prefix, MonoTime now);
    /** Returns the events with a sequence number above `after` whose delay has passed. */
    [[nodiscard]] nlohmann::json eventsAfter(std::uint64_t after, MonoTime now) const;

private:
    struct Event
    {
        std::uint64_t seq = 0;
        bool isStored = false;
        std::uint64_t prefix = 0;
        MonoTime time{};
    };

    void addEvent(bool isStored, std::uint64_t prefix, MonoTime now);

    std::size_t m_capacity;
    Milliseconds m_eventDelay;
    mutable std::mutex m_mutex;
    // Most recently used first. Invariant: at most m_capacity entries, without duplicates.
    std::list<std::uint64_t> m_prefixes;
    std::vector<Event> m_events;
    std::uint64_t m_lastSeq = 0;
};

} // namespace magnolia::standin
