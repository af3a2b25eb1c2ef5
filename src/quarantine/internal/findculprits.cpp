// Implements the search for culprits.
#include "quarantine/findculprits.h"

#include <algorithm>
#include <map>
#include <set>

namespace magnolia::quarantine
{

namespace
{

/** A crash with the reports of the requests that the upstream was beginning with. */
struct Crash
{
    UpstreamRun run;
    /** The earliest end of a connection. */
    MonoTime at{};
    std::vector<const CrashReport *> reports;
    // Suspects of the known traits that explain the crash; empty if none do.
    std::vector<Fingerprint> knownSuspects;
    bool isExplained = false;
};

/** What speaks against one property. */
struct Candidate
{
    Fingerprint suspect{};
    std::vector<const CrashReport *> reports;
    /** Indices of its crashes that follow each other. */
    std::vector<std::size_t> chain;
    bool isEstablished = false;
};

std::vector<Crash> groupByRun(std::span<const CrashReport> reports, std::span<const RequestTraits> known)
{
    std::map<UpstreamRun, Crash> byRun;
    for (const CrashReport &it : reports) {
        Crash &crash = byRun.try_emplace(it.run, Crash{it.run, it.endedAt, {}, {}, false}).first->second;
        crash.at = std::min(crash.at, it.endedAt);
        if (it.traits.suspects.empty()) {
            continue;
        }
        crash.reports.push_back(&it);
        for (const RequestTraits &traits : known) {
            if (matches(traits, it.traits)) {
                crash.knownSuspects.insert(crash.knownSuspects.end(), traits.suspects.begin(), traits.suspects.end());
            }
        }
    }
    std::vector<Crash> crashes;
    crashes.reserve(byRun.size());
    for (auto &[run, crash] : byRun) {
        crashes.push_back(std::move(crash));
    }
    std::stable_sort(crashes.begin(), crashes.end(), [](const Crash &a, const Crash &b) {
        return a.at < b.at;
    });
    return crashes;
}

/** Whether the report still speaks against the property, which has not succeeded since. */
bool isIncriminating(
    const CrashReport &report, Fingerprint suspect, const std::unordered_map<Fingerprint, MonoTime> &succeededAt)
{
    const auto success = succeededAt.find(suspect);
    return success == succeededAt.end() || success->second < report.endedAt;
}

std::vector<Candidate> makeCandidates(const std::vector<Crash> &crashes,
    const std::unordered_map<Fingerprint, MonoTime> &succeededAt, Milliseconds tolerance)
{
    std::map<Fingerprint, Candidate> bySuspect;
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        if (crashes[i].isExplained) {
            continue;
        }
        for (const CrashReport *report : crashes[i].reports) {
            for (const Fingerprint suspect : report->traits.suspects) {
                const std::vector<Fingerprint> &knownSuspects = crashes[i].knownSuspects;
                const bool isKnownInnocent = !knownSuspects.empty()
                    && std::find(knownSuspects.begin(), knownSuspects.end(), suspect) == knownSuspects.end();
                if (isKnownInnocent || !isIncriminating(*report, suspect, succeededAt)) {
                    continue;
                }
                Candidate &candidate = bySuspect[suspect];
                candidate.suspect = suspect;
                candidate.reports.push_back(report);
                candidate.isEstablished = candidate.isEstablished || contains(report->established, suspect);
                const bool isCounted = !candidate.chain.empty() && candidate.chain.back() == i;
                const bool isNext
                    = candidate.chain.empty() || report->sentAt + tolerance >= crashes[candidate.chain.back()].at;
                if (!isCounted && isNext) {
                    candidate.chain.push_back(i);
                }
            }
        }
    }
    std::vector<Candidate> candidates;
    candidates.reserve(bySuspect.size());
    for (auto &[suspect, candidate] : bySuspect) {
        candidates.push_back(std::move(candidate));
    }
    // Of properties that explain equally much, the one that fewer requests have is tried first.
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return a.chain.size() != b.chain.size() ? a.chain.size() > b.chain.size() : a.reports.size() < b.reports.size();
    });
    return candidates;
}

bool isSubset(const std::vector<const CrashReport *> &some, const std::vector<const CrashReport *> &all)
{
    const std::set<const CrashReport *> set(all.begin(), all.end());
    return std::all_of(some.begin(), some.end(), [&](const CrashReport *it) {
        return set.contains(it);
    });
}

/** Returns the number of successive crashes for which the candidate is blamed. */
std::size_t requiredCrashCount(
    const Candidate &candidate, const std::vector<Crash> &crashes, const CulpritParameters &parameters)
{
    const std::set<const CrashReport *> own(candidate.reports.begin(), candidate.reports.end());
    std::size_t presentCount = 0;
    std::size_t count = 0;
    for (std::size_t i = candidate.chain.front(); i < crashes.size(); ++i) {
        const Crash &crash = crashes[i];
        const bool isPresent = std::any_of(crash.reports.begin(), crash.reports.end(), [&](const CrashReport *it) {
            return own.contains(it);
        });
        presentCount += isPresent ? 1 : 0;
        count += isPresent || (!crash.isExplained && crash.knownSuspects.empty()) ? 1 : 0;
    }
    const std::size_t required = (parameters.minCrashes * count + presentCount - 1) / presentCount;
    return std::max(std::min(required, parameters.maxRequiredCrashes),
        candidate.isEstablished ? parameters.minCrashesOfEstablished : 0);
}

/** Whether other requests than those of `candidate` explain as many crashes, so that it is not certain who is to blame.
 */
bool isAmbiguous(const Candidate &candidate, const std::vector<Candidate> &candidates, std::size_t required)
{
    return std::any_of(candidates.begin(), candidates.end(), [&](const Candidate &rival) {
        if (&rival == &candidate || rival.chain.size() < candidate.chain.size()
            || isSubset(candidate.reports, rival.reports) || isSubset(rival.reports, candidate.reports)) {
            return false;
        }
        const auto sharedCount = std::count_if(candidate.chain.begin(), candidate.chain.end(), [&](std::size_t i) {
            return std::find(rival.chain.begin(), rival.chain.end(), i) != rival.chain.end();
        });
        return candidate.chain.size() - static_cast<std::size_t>(sharedCount) < required;
    });
}

std::vector<Fingerprint> intersection(const std::vector<Fingerprint> &a, const std::vector<Fingerprint> &b)
{
    std::vector<Fingerprint> common;
    std::set_intersection(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(common));
    return common;
}

Culprit makeCulprit(const Candidate &candidate, const std::vector<Crash> &crashes,
    const std::unordered_map<Fingerprint, MonoTime> &succeededAt)
{
    Culprit culprit;
    culprit.traits = candidate.reports.front()->traits;
    for (const CrashReport *it : candidate.reports) {
        culprit.traits.suspects = intersection(culprit.traits.suspects, it->traits.suspects);
        culprit.traits.context = intersection(culprit.traits.context, it->traits.context);
    }
    // A property that succeeded between the crashes does not crash upstreams by itself.
    std::erase_if(culprit.traits.suspects, [&](Fingerprint it) {
        return !isIncriminating(*candidate.reports.front(), it, succeededAt);
    });
    for (const std::size_t i : candidate.chain) {
        culprit.runs.push_back(crashes[i].run);
    }
    culprit.firstCrashAt = crashes[candidate.chain.front()].at;
    culprit.lastCrashAt = crashes[candidate.chain.back()].at;
    return culprit;
}

} // namespace

std::vector<Culprit> findCulprits(std::span<const CrashReport> reports,
    const std::unordered_map<Fingerprint, MonoTime> &succeededAt, std::span<const RequestTraits> known,
    const CulpritParameters &parameters)
{
    std::vector<Crash> crashes = groupByRun(reports, known);
    std::vector<Culprit> culprits;
    bool isFound = true;
    while (isFound) {
        isFound = false;
        const std::vector<Candidate> candidates = makeCandidates(crashes, succeededAt, parameters.clockTolerance);
        for (const Candidate &it : candidates) {
            if (it.chain.size() < parameters.minCrashes) {
                break;
            }
            const std::size_t required = requiredCrashCount(it, crashes, parameters);
            if (it.chain.size() < required || isAmbiguous(it, candidates, required)) {
                continue;
            }
            culprits.push_back(makeCulprit(it, crashes, succeededAt));
            const std::set<const CrashReport *> blamed(it.reports.begin(), it.reports.end());
            for (Crash &crash : crashes) {
                crash.isExplained = crash.isExplained
                    || std::any_of(crash.reports.begin(), crash.reports.end(), [&](const CrashReport *report) {
                           return blamed.contains(report);
                       });
            }
            isFound = true;
            break;
        }
    }
    return culprits;
}

} // namespace magnolia::quarantine
