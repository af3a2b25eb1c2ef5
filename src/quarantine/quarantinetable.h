// Requests that are refused because such requests have crashed upstreams ("queries of death").
//
// Every instance keeps the crash reports of all instances and draws the same conclusions from them. It does no I/O:
// reports, successes and time are passed in. The table is bounded by the number of crashes, not by that of requests.
#pragma once

#include "quarantine/findculprits.h"
#include "quarantine/types/crashreport.h"
#include "quarantine/types/quarantineentry.h"
#include "quarantine/types/requesttraits.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace magnolia::quarantine
{

struct QuarantineParameters
{
    CulpritParameters culprits;
    /** Length of the first quarantine. A release of the upstreams may have mended them after it. */
    Milliseconds initialDuration{600'000};
    Milliseconds maxDuration{4'800'000};
    /** Time after a quarantine in which one instance sends such requests, one at a time. */
    Milliseconds trialPeriod{60'000};
    /** Time after which a trial without an outcome is given up. */
    Milliseconds trialTimeout{30'000};
    /** Time for which reports are kept. */
    Milliseconds reportLifetime{600'000};
    std::size_t maxReports = 512;
    std::size_t maxReportsPerRun = 48;
    std::size_t maxEntries = 64;
    /** Time for which a success makes its properties established. */
    Milliseconds establishedLifetime{60'000};
    /** Number of established properties that are remembered; beyond it, those of the oldest successes are forgotten. */
    std::size_t maxEstablished = 8192;
};

class QuarantineTable
{
public:
    explicit QuarantineTable(QuarantineParameters parameters = {});

    /**
     * Records a crash that this or another instance has seen. Returns false if the report is known, or so old that it
     * no longer counts.
     */
    bool addReport(const CrashReport &report, MonoTime now);
    /** Returns those of the suspects that have succeeded here not long ago; for reports of this instance. */
    [[nodiscard]] std::vector<Fingerprint> establishedOf(const std::vector<Fingerprint> &suspects, MonoTime now) const;
    /** Returns the number of crashes that speak against a suspect, or `maxReports` if it is in quarantine. */
    [[nodiscard]] std::size_t crashCount(Fingerprint suspect) const;
    /** Records that a request with these suspects has succeeded here. */
    void recordSuccess(const std::vector<Fingerprint> &suspects, MonoTime now);
    /** Records that a request with these suspects has succeeded at any instance. */
    void clear(const std::vector<Fingerprint> &suspects, MonoTime at, MonoTime now);

    struct Conclusions
    {
        /** Entries that are new or refuse more than before. */
        std::vector<QuarantineEntry> added;
        /** The crashes by which they were found. */
        std::vector<UpstreamRun> explainedRuns;
    };

    /** Draws conclusions from the reports. */
    Conclusions update(MonoTime now);
    /** Removes what is outdated; returns the entries that have ended. */
    std::vector<QuarantineEntry> expire(MonoTime now);

    /**
     * Returns the entry by which a request with these traits is refused. `mayTry` tells whether this instance sends the
     * requests of an entry whose quarantine has ended; a request that is not refused for that reason is a trial.
     */
    [[nodiscard]] std::optional<QuarantineEntry> refusal(
        const RequestTraits &traits, const std::function<bool(const QuarantineEntry &entry)> &mayTry, MonoTime now);

    [[nodiscard]] const std::vector<QuarantineEntry> &entries() const;
    /** Takes over an entry of another instance unless it is known or refuted here; returns whether it was taken over.
     */
    bool adopt(const QuarantineEntry &entry, MonoTime now);
    [[nodiscard]] std::size_t reportCount() const;

private:
    [[nodiscard]] bool isEstablished(Fingerprint suspect, MonoTime now) const;
    [[nodiscard]] bool isCleared(Fingerprint suspect, MonoTime since) const;
    /** Removes suspects that have succeeded since the first crash from the entries; an entry without any has ended. */
    void applySuccesses();
    void requarantine(const CrashReport &report, MonoTime now);
    bool insert(const QuarantineEntry &entry);

    QuarantineParameters m_parameters;
    std::deque<CrashReport> m_reports;
    // Invariant: no two entries of which one refuses every request that the other one refuses.
    std::vector<QuarantineEntry> m_entries;
    std::vector<QuarantineEntry> m_ended;
    // Last success by suspect; only suspects of reports and entries are kept.
    std::unordered_map<Fingerprint, MonoTime> m_succeededAt;
    // Last success at this instance. The older half is dropped when the newer one is full.
    std::unordered_map<Fingerprint, MonoTime> m_newerSuccesses;
    std::unordered_map<Fingerprint, MonoTime> m_olderSuccesses;
};

} // namespace magnolia::quarantine
