// Upstreams that have asked for fewer requests, and the time from which each of them takes the next one.
//
// It does no I/O: answers and time are passed in.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace magnolia::limits
{

class PressureTable
{
public:
    /** Records that this run of an upstream wants no request from this instance for `delay`. */
    void pause(std::uint64_t upstream, std::uint64_t startedAt, Milliseconds delay, MonoTime now);
    /** Returns the time from which this run of an upstream takes a request; `now` if it takes one now. */
    [[nodiscard]] MonoTime availableAt(std::uint64_t upstream, std::uint64_t startedAt, MonoTime now) const;
    /** Removes all upstreams for which `isKnown` returns false. */
    void retain(const std::function<bool(std::uint64_t upstream)> &isKnown);

private:
    struct Record
    {
        /** Start time of the run that asked; another run has not asked for anything. */
        std::uint64_t startedAt = 0;
        MonoTime pausedUntil{};
    };

    Record &recordOf(std::uint64_t upstream, std::uint64_t startedAt);

    std::unordered_map<std::uint64_t, Record> m_records;
};

} // namespace magnolia::limits
