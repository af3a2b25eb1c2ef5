// Cold upstreams, and the time from which each of them takes the next request of this instance.
//
// It keeps the part of the budget that this instance has (coldbudget.h) for upstreams that crash above a rate of
// requests. As a second guard, it counts the requests that peers announce, some of which may keep no budget. It does no
// I/O: what is known of upstreams, announcements and the time are passed in.
#pragma once

#include "framework/global/types/time.h"
#include "limits/coldbudget.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace magnolia::limits
{

struct ColdParameters
{
    /** Upper bound of the time for which one statement makes an upstream cold. */
    Milliseconds maxColdTime{600'000};
    /**
     * Time for which an upstream that could not be reached is treated as cold until it answers. It is longer than the
     * longest exclusion of an upstream, after which the users of its budget try it again.
     */
    Milliseconds unreachableTime{10'000};
};

/** A run of an upstream that is cold. */
struct ColdRun
{
    std::uint64_t upstream = 0;
    std::uint64_t startedAt = 0;
    /** Time until which it is cold. */
    MonoTime until{};
};

class ColdTable
{
public:
    /** `startedAt` is the start of this instance: an earlier run of it may have used its parts just before. */
    explicit ColdTable(MonoTime startedAt, ColdParameters parameters = {});

    /**
     * Records that this run of an upstream is cold for `remaining`. `isOwnEvidence` tells whether peers are to be told;
     * what they have told themselves is not passed on. Returns whether the run was warm before.
     */
    bool markCold(
        std::uint64_t upstream, std::uint64_t startedAt, Milliseconds remaining, bool isOwnEvidence, MonoTime now);
    /** Records that the upstream could not be reached; it may become cold unobserved. */
    void markUnreachable(std::uint64_t upstream, std::uint64_t startedAt, MonoTime now);
    /** Forgets that the upstream could not be reached. Returns whether it could not until now. */
    bool clearUnreachable(std::uint64_t upstream, std::uint64_t startedAt);

    [[nodiscard]] bool isCold(std::uint64_t upstream, std::uint64_t startedAt, MonoTime now) const;
    /** Returns the time for which this run of an upstream stays cold; 0 if it is warm. */
    [[nodiscard]] Milliseconds coldTimeLeft(std::uint64_t upstream, std::uint64_t startedAt, MonoTime now) const;

    /** Counts a request that this instance sends, whether or not its upstream is cold yet. */
    void recordRequest(std::uint64_t upstream, MonoTime now);
    /** Counts a request that a peer has announced. */
    void recordPeerRequest(std::uint64_t upstream, MonoTime now);
    /**
     * Returns the time from which this run of an upstream takes a request of this instance; `now` if it takes one now.
     * `part` is the number of requests that this instance may send within `coldWindow`.
     */
    [[nodiscard]] MonoTime availableAt(std::uint64_t upstream, std::uint64_t startedAt, std::size_t part,
        const ColdBudget &budget, MonoTime now) const;

    /** Returns the runs that are cold by evidence of this instance itself. */
    [[nodiscard]] std::vector<ColdRun> ownEvidence(MonoTime now) const;
    /** Number of cold upstreams. */
    [[nodiscard]] std::size_t coldCount(MonoTime now) const;
    /** Returns the runs that have become warm since the last call, and removes records that are no longer needed. */
    std::vector<ColdRun> expire(MonoTime now);

private:
    struct Record
    {
        std::uint64_t startedAt = 0;
        MonoTime coldUntil{};
        /** Part of `coldUntil` that is evidence of this instance itself. */
        MonoTime ownColdUntil{};
        MonoTime unreachableUntil{};
        /** Whether the end of the cold time has still to be reported. */
        bool isReportDue = false;
    };
    /** Requests within the last `coldWindow`, by all runs of an upstream. */
    struct Requests
    {
        std::deque<MonoTime> own;
        std::deque<MonoTime> all;
    };

    /** Returns the record of this run, empty unless it is known; a later run replaces an earlier one. */
    [[nodiscard]] Record *recordOf(std::uint64_t upstream, std::uint64_t startedAt);
    [[nodiscard]] const Record *find(std::uint64_t upstream, std::uint64_t startedAt) const;

    MonoTime m_startedAt;
    ColdParameters m_parameters;
    std::unordered_map<std::uint64_t, Record> m_records;
    std::unordered_map<std::uint64_t, Requests> m_requests;
};

} // namespace magnolia::limits
