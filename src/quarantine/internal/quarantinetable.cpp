// Implements the table of quarantined requests.
#include "quarantine/quarantinetable.h"

#include <algorithm>
#include <set>
#include <utility>

namespace magnolia::quarantine
{

namespace
{

/** Whether `broad` refuses each request that `narrow` refuses. */
bool covers(const RequestTraits &broad, const RequestTraits &narrow)
{
    return matches(broad, narrow);
}

} // namespace

QuarantineTable::QuarantineTable(QuarantineParameters parameters)
    : m_parameters(parameters)
{
}

bool QuarantineTable::addReport(const CrashReport &report, MonoTime now)
{
    const bool isKnown = std::any_of(m_reports.begin(), m_reports.end(), [&](const CrashReport &it) {
        return it.id == report.id;
    });
    if (isKnown || now - report.endedAt > m_parameters.reportLifetime) {
        return false;
    }
    const auto ofRun = std::count_if(m_reports.begin(), m_reports.end(), [&](const CrashReport &it) {
        return it.run == report.run;
    });
    if (static_cast<std::size_t>(ofRun) >= m_parameters.maxReportsPerRun) {
        return false;
    }
    m_reports.push_back(report);
    if (m_reports.size() > m_parameters.maxReports) {
        // A crash without its culprit would speak against the innocent, so its reports go together.
        const UpstreamRun oldest = m_reports.front().run;
        std::erase_if(m_reports, [&](const CrashReport &it) {
            return it.run == oldest;
        });
    }
    requarantine(report, now);
    return true;
}

void QuarantineTable::requarantine(const CrashReport &report, MonoTime now)
{
    for (QuarantineEntry &it : m_entries) {
        if (now >= it.until && report.sentAt >= it.until && matches(it.traits, report.traits)) {
            it.duration = std::min(2 * it.duration, m_parameters.maxDuration);
            it.until = now + it.duration;
            it.lastCrashAt = report.endedAt;
            it.triedAt = {};
            ++it.crashCount;
        }
    }
}

bool QuarantineTable::isEstablished(Fingerprint suspect, MonoTime now) const
{
    const auto isRecent = [&](const std::unordered_map<Fingerprint, MonoTime> &successes) {
        const auto it = successes.find(suspect);
        return it != successes.end() && now - it->second <= m_parameters.establishedLifetime;
    };
    return isRecent(m_newerSuccesses) || isRecent(m_olderSuccesses);
}

std::vector<Fingerprint> QuarantineTable::establishedOf(const std::vector<Fingerprint> &suspects, MonoTime now) const
{
    std::vector<Fingerprint> established;
    std::copy_if(suspects.begin(), suspects.end(), std::back_inserter(established), [&](Fingerprint it) {
        return isEstablished(it, now);
    });
    return established;
}

std::size_t QuarantineTable::crashCount(Fingerprint suspect) const
{
    const bool isInEntry = std::any_of(m_entries.begin(), m_entries.end(), [&](const QuarantineEntry &it) {
        return contains(it.traits.suspects, suspect);
    });
    if (isInEntry) {
        return m_parameters.maxReports;
    }
    std::set<UpstreamRun> runs;
    for (const CrashReport &it : m_reports) {
        if (contains(it.traits.suspects, suspect) && !isCleared(suspect, it.endedAt)) {
            runs.insert(it.run);
        }
    }
    return runs.size();
}

void QuarantineTable::recordSuccess(const std::vector<Fingerprint> &suspects, MonoTime now)
{
    if (m_newerSuccesses.size() >= m_parameters.maxEstablished / 2) {
        m_olderSuccesses = std::exchange(m_newerSuccesses, {});
    }
    for (const Fingerprint it : suspects) {
        m_newerSuccesses[it] = now;
    }
    clear(suspects, now, now);
}

void QuarantineTable::clear(const std::vector<Fingerprint> &suspects, MonoTime at, MonoTime now)
{
    for (const Fingerprint it : suspects) {
        if (crashCount(it) > 0) {
            MonoTime &last = m_succeededAt[it];
            last = std::max(last, std::min(at, now));
        }
    }
    applySuccesses();
}

bool QuarantineTable::isCleared(Fingerprint suspect, MonoTime since) const
{
    const auto it = m_succeededAt.find(suspect);
    return it != m_succeededAt.end() && it->second >= since;
}

void QuarantineTable::applySuccesses()
{
    for (QuarantineEntry &entry : m_entries) {
        std::erase_if(entry.traits.suspects, [&](Fingerprint it) {
            return isCleared(it, entry.firstCrashAt);
        });
    }
    const auto ended = std::stable_partition(m_entries.begin(), m_entries.end(), [](const QuarantineEntry &it) {
        return !it.traits.suspects.empty();
    });
    m_ended.insert(m_ended.end(), ended, m_entries.end());
    m_entries.erase(ended, m_entries.end());
}

bool QuarantineTable::insert(const QuarantineEntry &entry)
{
    const bool isCovered = std::any_of(m_entries.begin(), m_entries.end(), [&](const QuarantineEntry &it) {
        return covers(it.traits, entry.traits);
    });
    if (isCovered || entry.traits.suspects.empty()) {
        return false;
    }
    std::erase_if(m_entries, [&](const QuarantineEntry &it) {
        return covers(entry.traits, it.traits);
    });
    if (m_entries.size() >= m_parameters.maxEntries) {
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) {
            return a.until < b.until;
        }));
    }
    m_entries.push_back(entry);
    return true;
}

QuarantineTable::Conclusions QuarantineTable::update(MonoTime now)
{
    Conclusions conclusions;
    const std::vector<CrashReport> reports(m_reports.begin(), m_reports.end());
    std::vector<RequestTraits> known;
    known.reserve(m_entries.size());
    for (const QuarantineEntry &it : m_entries) {
        known.push_back(it.traits);
    }
    for (const Culprit &it : findCulprits(reports, m_succeededAt, known, m_parameters.culprits)) {
        QuarantineEntry entry;
        entry.traits = it.traits;
        entry.crashCount = static_cast<std::uint32_t>(it.runs.size());
        entry.firstCrashAt = it.firstCrashAt;
        entry.lastCrashAt = it.lastCrashAt;
        entry.duration = m_parameters.initialDuration;
        entry.until = it.lastCrashAt + entry.duration;
        if (entry.until > now && insert(entry)) {
            conclusions.added.push_back(entry);
            conclusions.explainedRuns.insert(conclusions.explainedRuns.end(), it.runs.begin(), it.runs.end());
        }
    }
    return conclusions;
}

std::vector<QuarantineEntry> QuarantineTable::expire(MonoTime now)
{
    std::erase_if(m_reports, [&](const CrashReport &it) {
        return now - it.endedAt > m_parameters.reportLifetime;
    });
    const auto ended = std::stable_partition(m_entries.begin(), m_entries.end(), [&](const QuarantineEntry &it) {
        return now < it.until + m_parameters.trialPeriod;
    });
    m_ended.insert(m_ended.end(), ended, m_entries.end());
    m_entries.erase(ended, m_entries.end());
    std::erase_if(m_succeededAt, [&](const auto &it) {
        return now - it.second > m_parameters.reportLifetime;
    });
    return std::exchange(m_ended, {});
}

std::optional<QuarantineEntry> QuarantineTable::refusal(
    const RequestTraits &traits, const std::function<bool(const QuarantineEntry &entry)> &mayTry, MonoTime now)
{
    for (QuarantineEntry &it : m_entries) {
        if (!matches(it.traits, traits)) {
            continue;
        }
        const bool isTrialFree = it.triedAt == MonoTime{} || now - it.triedAt > m_parameters.trialTimeout;
        if (now < it.until || !isTrialFree || !mayTry(it)) {
            return it;
        }
        it.triedAt = now;
    }
    return std::nullopt;
}

const std::vector<QuarantineEntry> &QuarantineTable::entries() const
{
    return m_entries;
}

bool QuarantineTable::adopt(const QuarantineEntry &entry, MonoTime now)
{
    QuarantineEntry own = entry;
    normalise(own.traits);
    own.triedAt = {};
    std::erase_if(own.traits.suspects, [&](Fingerprint it) {
        return isCleared(it, own.firstCrashAt);
    });
    if (now >= own.until + m_parameters.trialPeriod) {
        return false;
    }
    // After a trial that failed, the instances that did not hear of it learn the new end from the entry.
    for (QuarantineEntry &it : m_entries) {
        if (covers(it.traits, own.traits) && covers(own.traits, it.traits) && own.duration > it.duration) {
            it.duration = own.duration;
            it.until = own.until;
            it.lastCrashAt = own.lastCrashAt;
            return false;
        }
    }
    return insert(own);
}

std::size_t QuarantineTable::reportCount() const
{
    return m_reports.size();
}

} // namespace magnolia::quarantine
