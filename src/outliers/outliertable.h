// Which upstreams are left out for a while, judged by what callers' own requests met there.
//
// Load that this answers: upstreams that fail a share of their requests, fall silent or go down and up by turns while
// their health check is good. An exclusion doubles with each return to failure, and ends with one request on trial.
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
    /** An outcome loses half of its weight in this time. */
    Milliseconds halfLife{4000};
    /** Failures, by weight, below which nothing is concluded. */
    double minFailures = 1.8;
    /** Share of failures above which an upstream is left out, unless its fellows do as badly. */
    double maxFailureShare = 0.3;
    /** An upstream is an outlier where its share is this many times that of its fellows. */
    double maxServiceShareFactor = 2.5;
    Milliseconds initialExclusion{1000};
    Milliseconds maxExclusion{8000};
    /** An upstream that did well for so long begins anew with the first exclusion. */
    Milliseconds resetAfter{10'000};
};

class OutlierTable
{
public:
    explicit OutlierTable(OutlierParameters parameters = {});

    /** `fellowsShare` is the share of failures among all upstreams of its service. */
    void recordOutcome(std::uint64_t upstream, AttemptOutcome evidence, double fellowsShare, MonoTime now);
    /** A measured time as a multiple of the predicted one. */
    void recordSlowdown(std::uint64_t upstream, double ratio);
    /** Forgets all upstreams that `isKnown` does not know. */
    void retain(const std::function<bool(std::uint64_t upstream)> &isKnown);

    [[nodiscard]] bool isExcluded(std::uint64_t upstream, MonoTime now) const;
    /** The exclusion has ended, but no success has been seen since. */
    [[nodiscard]] bool isOnTrial(std::uint64_t upstream, MonoTime now) const;
    /** Share of failures by weight; 0 without evidence. */
    [[nodiscard]] double failureShare(std::uint64_t upstream, MonoTime now) const;
    /** Between 1 and the slowest that is believed. */
    [[nodiscard]] double slowdown(std::uint64_t upstream) const;

private:
    struct Record
    {
        double good = 0;
        double failed = 0;
        MonoTime weighedAt{};
        MonoTime excludedUntil{};
        Milliseconds nextExclusion{0};
        bool hasReturned = true;
        double slowdown = 1;
    };

    void decay(Record &record, MonoTime now) const;
    void exclude(Record &record, MonoTime now) const;

    OutlierParameters m_parameters;
    std::unordered_map<std::uint64_t, Record> m_records;
};

} // namespace magnolia::outliers
