// Implements the search for requests that crash upstreams.
#include "gateway/internal/crashmonitor.h"

#include "fleet/fleetlink.h"
#include "framework/global/hashing.h"
#include "framework/logging/log.h"
#include "gateway/internal/gatewaycontext.h"

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

/** Time in which the reports of one crash arrive from all instances; conclusions wait for it. */
constexpr Milliseconds settleTime{50};
/** Crashes under one request from which its success is announced to peers; most requests do not come again. */
constexpr std::size_t minCrashesOfRequest = 2;
/** Attempts of one run that are reported; more of them tell nothing new. */
constexpr std::size_t maxReportsPerRun = 16;
constexpr std::size_t maxPendingRuns = 256;
/** Time for which a crashed run is remembered; connections that break later belong to another run. */
constexpr Milliseconds crashedRunLifetime{60'000};
/** Upper bound of an age in a message. */
constexpr std::int64_t maxAgeMs = 4'000'000'000;

std::uint32_t ageMs(MonoTime at, MonoTime now)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(toMilliseconds(now - at).count(), 0, maxAgeMs));
}

std::vector<std::uint64_t> toNumbers(const std::vector<quarantine::Fingerprint> &list)
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(list.size());
    for (const quarantine::Fingerprint it : list) {
        numbers.push_back(static_cast<std::uint64_t>(it));
    }
    return numbers;
}

std::vector<quarantine::Fingerprint> toFingerprints(const std::vector<std::uint64_t> &numbers)
{
    std::vector<quarantine::Fingerprint> list;
    list.reserve(numbers.size());
    for (const std::uint64_t it : numbers) {
        list.push_back(quarantine::Fingerprint{it});
    }
    return list;
}

} // namespace

CrashMonitor::CrashMonitor(GatewayContext &context)
    : m_context(context)
{
}

void CrashMonitor::onAttemptBroken(BrokenAttempt attempt)
{
    const KnownUpstream *known = m_context.upstreams.find(attempt.run.upstream);
    // An upstream that leaves ends by itself, also with requests in progress.
    if (known == nullptr || known->entry.isLeaving || known->entry.startedAt != attempt.run.startedAt) {
        return;
    }
    const MonoTime now = m_context.loop.now();
    if (const auto crashed = m_crashed.find(attempt.run); crashed != m_crashed.end()) {
        reportCrash(attempt, now);
        return;
    }
    const auto pending = m_pending.find(attempt.run);
    if (pending != m_pending.end()) {
        if (pending->second.attempts.size() < maxReportsPerRun) {
            pending->second.attempts.push_back(std::move(attempt));
        }
        return;
    }
    if (m_pending.size() >= maxPendingRuns) {
        return;
    }
    const quarantine::UpstreamRun run = attempt.run;
    const placement::UpstreamKey upstream = run.upstream;
    m_pending[run] = {{std::move(attempt)}, now};
    m_context.path->investigate(
        upstream, [this, alive = std::weak_ptr<bool>(m_alive), run](PathFinding finding, Reachability reachability) {
            if (alive.lock()) {
                onInvestigated(run, finding, reachability);
            }
        });
}

void CrashMonitor::onInvestigated(const quarantine::UpstreamRun &run, PathFinding finding, Reachability reachability)
{
    const auto node = m_pending.extract(run);
    if (!node || finding != PathFinding::UpstreamFailed || reachability != Reachability::Refused) {
        return;
    }
    m_crashed[run] = node.mapped().endedAt;
    for (const BrokenAttempt &it : node.mapped().attempts) {
        reportCrash(it, node.mapped().endedAt);
    }
}

void CrashMonitor::reportCrash(const BrokenAttempt &attempt, MonoTime endedAt)
{
    const MonoTime now = m_context.loop.now();
    quarantine::CrashReport report;
    report.id = m_context.random.next();
    report.run = attempt.run;
    report.sentAt = attempt.sentAt;
    report.endedAt = endedAt;
    // A request sent after the crash cannot be its reason.
    if (attempt.isBeginning && attempt.sentAt < endedAt) {
        report.traits = attempt.traits;
        report.established = m_table.establishedOf(report.traits.suspects, now);
    }
    logging::write(logging::Level::Info, "gateway", "upstream_crashed",
        {{"request", std::string_view(attempt.requestId)},
            {"upstream", std::string_view(m_context.upstreams.idOf(attempt.run.upstream))},
            {"suspects", quarantine::toHex(report.traits.suspects)}});
    m_context.metrics.increment("magnolia_gateway_crash_reports_total");
    m_table.addReport(report, now);
    m_context.fleet->announceCrash(
        {report.id, report.run.upstream, report.run.startedAt, ageMs(report.sentAt, now), ageMs(report.endedAt, now),
            toNumbers(report.traits.suspects), toNumbers(report.traits.context), toNumbers(report.established)});
    scheduleUpdate();
}

void CrashMonitor::onSuccess(const quarantine::RequestTraits &traits, quarantine::Fingerprint request)
{
    for (const quarantine::Fingerprint it : traits.suspects) {
        const std::size_t minCrashes = it == request ? minCrashesOfRequest : 1;
        if (m_table.crashCount(it) >= minCrashes) {
            m_context.fleet->announceSuccess(static_cast<std::uint64_t>(it));
        }
    }
    m_table.recordSuccess(traits.suspects, m_context.loop.now());
}

std::optional<quarantine::QuarantineEntry> CrashMonitor::refusal(
    const std::string &requestId, const quarantine::RequestTraits &traits)
{
    const MonoTime now = m_context.loop.now();
    auto entry = m_table.refusal(
        traits,
        [this](const quarantine::QuarantineEntry &it) {
            return mayTry(it);
        },
        now);
    if (entry) {
        logging::write(logging::Level::Info, "gateway", "quarantined",
            {{"request", std::string_view(requestId)}, {"suspects", quarantine::toHex(entry->traits.suspects)},
                {"crashes", std::uint64_t{entry->crashCount}},
                {"last_crash_ms_ago", std::int64_t{toMilliseconds(now - entry->lastCrashAt).count()}},
                {"ends_in_ms", std::int64_t{toMilliseconds(entry->until - now).count()}}});
        m_context.metrics.increment("magnolia_gateway_quarantine_refusals_total");
    }
    return entry;
}

bool CrashMonitor::mayTry(const quarantine::QuarantineEntry &entry) const
{
    const MonoTime now = m_context.loop.now();
    std::vector<std::string> live{m_context.settings.instance.value()};
    for (const auto &[name, peer] : m_context.fleet->table().peers()) {
        if (!m_context.fleet->table().isSilent(peer, now) && peer.isReady) {
            live.push_back(name);
        }
    }
    const std::string key = quarantine::toHex({entry.traits.suspects.front()}).front();
    const auto owner = rendezvousOwner(key, live);
    const bool isOwner = owner && live[*owner] == m_context.settings.instance.value();
    if (isOwner) {
        m_context.metrics.increment("magnolia_gateway_quarantine_trials_total");
    }
    return isOwner;
}

void CrashMonitor::onPeerCrash(const fleet::CrashRecord &record, const std::string &peer)
{
    const MonoTime now = m_context.loop.now();
    quarantine::CrashReport report;
    report.id = record.id;
    report.run = {record.upstream, record.startedAt};
    report.sentAt = now - Milliseconds(record.sentAgeMs);
    report.endedAt = now - Milliseconds(record.endedAgeMs);
    report.traits = {toFingerprints(record.suspects), toFingerprints(record.context)};
    normalise(report.traits);
    report.established = toFingerprints(record.established);
    std::sort(report.established.begin(), report.established.end());
    if (m_table.addReport(report, now)) {
        logging::write(logging::Level::Debug, "gateway", "crash_reported",
            {{"peer", std::string_view(peer)},
                {"upstream", std::string_view(m_context.upstreams.idOf(record.upstream))},
                {"suspects", quarantine::toHex(report.traits.suspects)}});
        scheduleUpdate();
    }
}

void CrashMonitor::onPeerSuccess(const std::vector<std::uint64_t> &suspects)
{
    m_table.clear(toFingerprints(suspects), m_context.loop.now(), m_context.loop.now());
}

void CrashMonitor::onPeerQuarantine(const fleet::QuarantineRecord &record, const std::string &peer)
{
    const MonoTime now = m_context.loop.now();
    quarantine::QuarantineEntry entry;
    entry.traits = {toFingerprints(record.suspects), toFingerprints(record.context)};
    entry.crashCount = record.crashCount;
    entry.firstCrashAt = now - Milliseconds(record.firstCrashAgeMs);
    entry.lastCrashAt = now - Milliseconds(record.lastCrashAgeMs);
    entry.duration = Milliseconds(record.durationMs);
    entry.until = now + Milliseconds(record.remainingMs);
    if (m_table.adopt(entry, now)) {
        logging::write(logging::Level::Warning, "gateway", "quarantine_began",
            {{"suspects", quarantine::toHex(entry.traits.suspects)},
                {"context", quarantine::toHex(entry.traits.context)}, {"crashes", std::uint64_t{entry.crashCount}},
                {"told_by", std::string_view(peer)}});
    }
}

std::vector<fleet::QuarantineRecord> CrashMonitor::quarantineRecords() const
{
    const MonoTime now = m_context.loop.now();
    std::vector<fleet::QuarantineRecord> records;
    for (const quarantine::QuarantineEntry &it : m_table.entries()) {
        records.push_back(
            {toNumbers(it.traits.suspects), toNumbers(it.traits.context), it.crashCount, ageMs(it.firstCrashAt, now),
                ageMs(it.lastCrashAt, now), static_cast<std::uint32_t>(it.duration.count()), ageMs(now, it.until)});
    }
    return records;
}

const quarantine::QuarantineTable &CrashMonitor::table() const
{
    return m_table;
}

void CrashMonitor::scheduleUpdate()
{
    if (m_isUpdateScheduled) {
        return;
    }
    m_isUpdateScheduled = true;
    m_context.loop.after(settleTime, [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.lock()) {
            m_isUpdateScheduled = false;
            update();
        }
    });
}

void CrashMonitor::update()
{
    const auto conclusions = m_table.update(m_context.loop.now());
    for (const quarantine::UpstreamRun &it : conclusions.explainedRuns) {
        m_explained[it.upstream] = it.startedAt;
    }
    for (const quarantine::QuarantineEntry &it : conclusions.added) {
        logging::write(logging::Level::Warning, "gateway", "quarantine_began",
            {{"suspects", quarantine::toHex(it.traits.suspects)}, {"context", quarantine::toHex(it.traits.context)},
                {"crashes", std::uint64_t{it.crashCount}}, {"told_by", "reports"}});
        m_context.metrics.increment("magnolia_gateway_quarantines_total");
    }
}

void CrashMonitor::onUpstreamsChanged()
{
    std::erase_if(m_explained, [this](const auto &it) {
        const KnownUpstream *known = m_context.upstreams.find(it.first);
        const bool isOtherRun = known == nullptr || known->entry.startedAt != it.second;
        if (isOtherRun) {
            m_context.outliers.forget(it.first);
        }
        return isOtherRun;
    });
}

void CrashMonitor::expire()
{
    const MonoTime now = m_context.loop.now();
    for (const quarantine::QuarantineEntry &it : m_table.expire(now)) {
        logging::write(logging::Level::Info, "gateway", "quarantine_ended",
            {{"suspects", quarantine::toHex(it.traits.suspects)}, {"context", quarantine::toHex(it.traits.context)},
                {"reason", it.traits.suspects.empty() ? "succeeded" : "expired"}});
    }
    std::erase_if(m_crashed, [&](const auto &it) {
        return now - it.second > crashedRunLifetime;
    });
}

} // namespace magnolia::gateway
