// Outlier detection: temporarily excludes upstreams based on the outcomes of real requests.
//
// It covers upstreams that fail a share of their requests, go silent or flap while their health check passes. Each
// relapse doubles the exclusion time, and after an exclusion one trial request decides about the return.
#pragma once

#include "framework/global/types/time.h"
#include "outliers/types/attemptoutcome.h"

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace magnolia::outliers
{

struct OutlierParameters
{
    /** Time in which the weight of an outcome halves. */
    Milliseconds halfLife{4000};
    /** Minimum weight of failures before an upstream is excluded for its failure share. */
    double minFailures = 1.8;
    /** Failure share above which an upstream is excluded, unless the rest of its service fails as often. */
    double maxFailureShare = 0.3;
    /** Failure share, as a multiple of that of the service's other upstreams, above which it is an outlier. */
    double maxServiceShareFactor = 2.5;
    Milliseconds initialExclusion{1000};
    Milliseconds maxExclusion{8000};
    /** Time without exclusion after which the next one starts again at `initialExclusion`. */
    Milliseconds resetAfter{10'000};
};

class OutlierTable
{
public:
    explicit OutlierTable(OutlierParameters parameters = {});

    /** Records an attempt; `serviceFailureShare` is the failure share of the service's other upstreams. */
    void recordOutcome(std::uint64_t upstream, AttemptOutcome outcome, double serviceFailureShare, MonoTime now);
    /** Updates the slowdown; `ratio` is measured time over predicted time. */
    void recordSlowdown(std::uint64_t upstream, double ratio);
    /** Removes the evidence against an upstream that turned out not to be at fault. */
    void forget(std::uint64_t upstream);
    /** Removes all upstreams for which `isKnown` returns false. */
    void retain(const std::function<bool(std::uint64_t upstream)> &isKnown);

    [[nodiscard]] bool isExcluded(std::uint64_t upstream, MonoTime now) const;
    /** Whether the exclusion has ended without a success since. */
    [[nodiscard]] bool isOnTrial(std::uint64_t upstream, MonoTime now) const;
    /** Weighted share of failures; 0 if too few outcomes are known. */
    [[nodiscard]] double failureShare(std::uint64_t upstream, MonoTime now) const;
    /** Smoothed ratio of measured to predicted time, between 1 and 6; 1 for an unknown upstream. */
    [[nodiscard]] double slowdown(std::uint64_t upstream) const;

private:
    struct Record
    {
        double succeeded = 0;
        double failed = 0;
        MonoTime decayedAt{};
        MonoTime excludedUntil{};
        Milliseconds nextExclusion{0};
        bool hasRecovered = true;
        double slowdown = 1;
    };

    void decay(Record &record, MonoTime now) const;
    void exclude(Record &record, MonoTime now) const;

    OutlierParameters m_parameters;
    std::unordered_map<std::uint64_t, Record> m_records;
};

} // namespace magnolia::outliers
