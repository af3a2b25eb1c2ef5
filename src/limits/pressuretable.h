// Upstreams that have asked for fewer requests, and the time from which each of them takes the next one.
//
// A limit on the requests of all instances together is kept by a token bucket that every instance fills and empties
// alike: each counts its own requests and those that its peers announce, so that no instance owns a share that it may
// not need. It does no I/O: answers, announcements and time are passed in.
#pragma once

#include "framework/global/types/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace magnolia::limits
{

struct PressureParameters
{
    /** Time whose requests may be sent at once. */
    Milliseconds burstTime{1000};
    /** Lower bound of a limit in requests per second; an answer tells whether the limit still holds. */
    double minRate = 0.1;
    /** Time for which an upstream may be missing from the published ones before what it has asked for is forgotten;
     * several times the gap of a registration that lapses while the upstream lives. */
    Milliseconds forgetAfter{60'000};
};

class PressureTable
{
public:
    explicit PressureTable(PressureParameters parameters = {});

    /** Records that this run of an upstream wants no request from this instance for `delay`. */
    void pause(std::uint64_t upstream, std::uint64_t startedAt, Milliseconds delay, MonoTime now);
    /**
     * Records the requests per second that this run of an upstream takes of all instances together, or that it names no
     * limit. Returns whether that is a change.
     */
    bool setLimit(
        std::uint64_t upstream, std::uint64_t startedAt, std::optional<double> requestsPerSecond, MonoTime now);
    /** Returns the limit that this run of an upstream has named. */
    [[nodiscard]] std::optional<double> limit(std::uint64_t upstream, std::uint64_t startedAt) const;
    /** Counts a request of any instance. `share` is the part of the limit for the instances that hear each other. */
    void recordRequest(std::uint64_t upstream, double share, MonoTime now);
    /** Returns the time from which this run of an upstream takes a request; `now` if it takes one now. */
    [[nodiscard]] MonoTime availableAt(
        std::uint64_t upstream, std::uint64_t startedAt, double share, MonoTime now) const;
    /** Returns the end of the time for which this run of an upstream wants no request from this instance. */
    [[nodiscard]] MonoTime pausedUntil(std::uint64_t upstream, std::uint64_t startedAt) const;
    /** Removes all upstreams for which `isKnown` has returned false for `forgetAfter`. */
    void retain(const std::function<bool(std::uint64_t upstream)> &isKnown, MonoTime now);
    [[nodiscard]] std::size_t size() const;

private:
    struct Record
    {
        /** Start time of the run that asked; another run has not asked for anything. */
        std::uint64_t startedAt = 0;
        MonoTime pausedUntil{};
        std::optional<double> requestsPerSecond;
        /** Requests that may be sent; below zero after several instances have sent at the same moment. */
        double tokens = 0;
        MonoTime filledAt{};
        /** Since when the upstream has been missing from the published ones. */
        std::optional<MonoTime> unknownSince;
    };

    [[nodiscard]] double tokensAt(const Record &record, double rate, MonoTime now) const;
    Record &recordOf(std::uint64_t upstream, std::uint64_t startedAt);

    PressureParameters m_parameters;
    std::unordered_map<std::uint64_t, Record> m_records;
};

} // namespace magnolia::limits
