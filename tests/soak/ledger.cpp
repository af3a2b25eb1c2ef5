// Checks the guarantees against the records of callers and upstreams.
#include "ledger.h"

#include <algorithm>
#include <sstream>

namespace magnolia::soak
{

namespace
{

/** A leaving upstream must get no requests after 2000 ms (documented limit); 1000 ms are allowed for transmission. */
constexpr Milliseconds maxDrainDelay{2000 + 1000};
/** Time after which no request reaches an evacuated data centre (documented limit, `EvacuateMs`). */
constexpr Milliseconds maxEvacuationDelay{5000};
/** Time from the first answer with a limit after which the limit is kept (documented limit). */
constexpr Milliseconds limitContactTime{3000};
/** In this time an upstream may get one and a half times its limit and `limitSlack` more (documented limit). */
constexpr Milliseconds limitWindow{4000};
constexpr double limitFactor = 1.5;
constexpr double limitSlack = 5;
/** Requests that were under way when their gateway was turned away arrive within this time (documented limit). */
constexpr Milliseconds turnAwayDelay{500};
constexpr int maxArrivalsTurnedAway = 2;
/** Time from the begin of a cut after which a gateway serves its callers through others, and the failures that are
 * allowed beyond one in `cutFailureDivisor` requests (documented limits). */
constexpr Milliseconds cutContactTime{3000};
constexpr int minCutFailures = 10;
constexpr int cutFailureDivisor = 50;
/** Time from the last crash that shows a trigger until the gateways have to know it (documented limit). */
constexpr Milliseconds triggerContactTime{3000};
/** Requests with a known trigger that may still reach upstreams (documented limit). */
constexpr int maxLateTriggers = 3;
/** Documented time in which an instance reconnects to the store after a disruption. */
constexpr Milliseconds storeReconnectTime{3000};
/** A configuration must be applied within 2000 ms (documented limit); 1000 ms are allowed for transmission. */
constexpr Milliseconds maxApplyTime{2000 + 1000};
/** `MaxAttempts` of the routes in the configuration of the soak test. */
constexpr std::size_t maxAttempts = 2;

bool guaranteesNoExecution(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

Ledger::Ledger(bool hasTimedChecks)
    : m_hasTimedChecks(hasTimedChecks)
{
}

RequestRecord &Ledger::record(const std::string &id)
{
    RequestRecord &it = m_records[id];
    it.id = id;
    return it;
}

const std::map<std::string, RequestRecord> &Ledger::records() const
{
    return m_records;
}

void Ledger::recordArrival(const std::string &id)
{
    ++record(id).arrivalCount;
}

void Ledger::recordExecution(const std::string &id, const std::string &upstream)
{
    record(id).executedOn.push_back(upstream);
}

void Ledger::recordLeaving(const std::string &upstream, MonoTime at)
{
    m_leavingSince.emplace(upstream, at);
}

void Ledger::clearLeaving(const std::string &upstream)
{
    m_leavingSince.erase(upstream);
}

void Ledger::recordDisruption(MonoTime until)
{
    m_disruptedUntil = std::max(m_disruptedUntil, until + storeReconnectTime);
}

void Ledger::checkDrain(const std::string &id, const std::string &upstream, MonoTime now)
{
    const auto since = m_leavingSince.find(upstream);
    const bool isStoreConnected = since != m_leavingSince.end() && since->second >= m_disruptedUntil;
    if (m_hasTimedChecks && isStoreConnected && now - since->second > maxDrainDelay) {
        addViolation("drain", id,
            upstream + " received a request " + std::to_string(toMilliseconds(now - since->second).count())
                + " ms after it was listed as leaving");
    }
}

void Ledger::recordEvacuation(const std::string &dataCentre, MonoTime at)
{
    m_evacuatedSince[dataCentre] = at;
}

void Ledger::clearEvacuation(const std::string &dataCentre)
{
    m_evacuatedSince.erase(dataCentre);
}

void Ledger::checkEvacuation(const std::string &id, const std::string &dataCentre, MonoTime now)
{
    const auto since = m_evacuatedSince.find(dataCentre);
    if (!m_hasTimedChecks || since == m_evacuatedSince.end()) {
        return;
    }
    // Only instances that have contact with the store are bound.
    const MonoTime boundFrom = std::max(since->second, m_disruptedUntil) + maxEvacuationDelay;
    if (now > boundFrom) {
        addViolation("evacuation", id,
            dataCentre + " received a request " + std::to_string(toMilliseconds(now - since->second).count())
                + " ms after it was evacuated");
    }
}

void Ledger::recordLimit(const std::string &upstream, std::optional<double> requestsPerSecond, MonoTime at)
{
    if (!requestsPerSecond) {
        m_limits.erase(upstream);
    } else if (m_limits.contains(upstream)) {
        m_limits[upstream].requestsPerSecond = *requestsPerSecond;
    } else {
        m_limits[upstream] = {*requestsPerSecond, at, {}};
    }
}

void Ledger::checkLimit(const std::string &id, const std::string &upstream, MonoTime now)
{
    const auto found = m_limits.find(upstream);
    if (found == m_limits.end()) {
        return;
    }
    Limit &limit = found->second;
    if (now < std::max(limit.since + limitContactTime, m_disruptedUntil)) {
        return;
    }
    limit.arrivals.push_back(now);
    while (now - limit.arrivals.front() >= limitWindow) {
        limit.arrivals.pop_front();
    }
    const double seconds = std::chrono::duration<double>(limitWindow).count();
    const double allowed = limitFactor * limit.requestsPerSecond * seconds + limitSlack;
    if (m_hasTimedChecks && static_cast<double>(limit.arrivals.size()) > allowed) {
        addViolation("limit", id,
            upstream + " received " + std::to_string(limit.arrivals.size()) + " requests in 4 s; allowed are "
                + std::to_string(allowed));
    }
}

void Ledger::recordTurnedAway(const std::string &upstream, const std::string &process, MonoTime at, Milliseconds time)
{
    TurnedAway &it = m_turnedAway[{upstream, process}];
    if (at >= it.until) {
        it = {at + turnAwayDelay, at + time, 0};
    }
}

void Ledger::checkTurnedAway(
    const std::string &id, const std::string &upstream, const std::string &process, MonoTime now)
{
    const auto found = m_turnedAway.find({upstream, process});
    if (found == m_turnedAway.end() || now < found->second.from || now >= found->second.until) {
        return;
    }
    if (m_hasTimedChecks && now >= m_disruptedUntil && ++found->second.arrivalCount > maxArrivalsTurnedAway) {
        addViolation("retry after", id,
            upstream + " received a request from " + process + " in the time for which it wanted none");
    }
}

void Ledger::recordCut(const std::string &process, MonoTime from, MonoTime until)
{
    m_cuts.push_back({process, from, until});
}

void Ledger::recordOutOfTouch(const std::string &process, MonoTime from, MonoTime until)
{
    m_outOfTouch.push_back({process, from, until + cutContactTime});
}

void Ledger::checkCuts()
{
    int cutCount = 0;
    int cutServedCount = 0;
    int otherCount = 0;
    int otherServedCount = 0;
    for (const auto &entry : m_records) {
        const RequestRecord &it = entry.second;
        if (it.isAbandoned || it.hasUpstreamFault) {
            continue;
        }
        bool isDuringCut = false;
        bool isAtCutGateway = false;
        bool isCounted = std::none_of(m_outOfTouch.begin(), m_outOfTouch.end(), [&](const Interval &other) {
            return other.process == it.process && it.sentAt >= other.from && it.sentAt < other.until;
        });
        for (const Interval &cut : m_cuts) {
            const bool isDuring = it.sentAt >= cut.from + cutContactTime && it.sentAt < cut.until;
            isDuringCut = isDuringCut || isDuring;
            if (cut.process == it.process) {
                isAtCutGateway = isAtCutGateway || isDuring;
                // The gateway may not know of its cut yet, or not of its end.
                isCounted = isCounted && (isDuring || it.sentAt < cut.from || it.sentAt >= cut.until);
            }
        }
        if (!isDuringCut || !isCounted) {
            continue;
        }
        const bool isServed = it.status == 200 && it.isComplete;
        (isAtCutGateway ? cutCount : otherCount) += 1;
        (isAtCutGateway ? cutServedCount : otherServedCount) += isServed ? 1 : 0;
    }
    const int maxFailures = minCutFailures + (cutCount + otherCount) / cutFailureDivisor;
    if (cutCount - cutServedCount > maxFailures && 3 * cutServedCount * otherCount < 2 * otherServedCount * cutCount) {
        addViolation("served during a cut", {},
            std::to_string(cutServedCount) + " of " + std::to_string(cutCount)
                + " requests were served at cut gateways, " + std::to_string(otherServedCount) + " of "
                + std::to_string(otherCount) + " at others");
    }
}

void Ledger::addCrashTrigger(const std::string &trigger, int maxCrashCount)
{
    m_crashTriggers[trigger].maxCrashCount = maxCrashCount;
}

void Ledger::recordCrash(const std::string &trigger, MonoTime at)
{
    CrashTrigger &it = m_crashTriggers[trigger];
    if (++it.crashCount == it.maxCrashCount) {
        it.shownAt = at;
    }
}

int Ledger::crashCount(const std::string &trigger) const
{
    const auto it = m_crashTriggers.find(trigger);
    return it == m_crashTriggers.end() ? 0 : it->second.crashCount;
}

void Ledger::forgetCrashes()
{
    for (auto &[name, it] : m_crashTriggers) {
        it.crashCount = 0;
        it.shownAt.reset();
        it.lateArrivalCount = 0;
    }
}

std::optional<MonoTime> Ledger::crashTriggerKnownAt(const std::string &trigger) const
{
    const auto it = m_crashTriggers.find(trigger);
    if (it == m_crashTriggers.end() || !it->second.shownAt) {
        return std::nullopt;
    }
    return std::max(*it->second.shownAt + triggerContactTime, m_disruptedUntil);
}

void Ledger::checkCrashTrigger(const std::string &trigger, const std::string &id, MonoTime now)
{
    const auto knownAt = crashTriggerKnownAt(trigger);
    if (!m_hasTimedChecks || !knownAt || now < *knownAt) {
        return;
    }
    CrashTrigger &it = m_crashTriggers[trigger];
    if (++it.lateArrivalCount > maxLateTriggers) {
        addViolation("crash trigger", id,
            "a request with '" + trigger + "', which had crashed " + std::to_string(it.crashCount)
                + " upstreams, reached an upstream; it is the " + std::to_string(it.lateArrivalCount)
                + "th after it had to be known");
    }
}

void Ledger::setPlannedPhase(MonoTime from, MonoTime until)
{
    m_plannedFrom = from;
    m_plannedUntil = until;
}

void Ledger::recordConfigurationVersion(std::uint64_t version, const std::string &service, MonoTime at)
{
    m_versionByService[service] = version;
    m_versionPublishedAt[version] = at;
}

void Ledger::addViolation(const std::string &guarantee, const std::string &requestId, const std::string &detail)
{
    m_violations.push_back({guarantee, requestId, detail});
}

void Ledger::checkGuarantees()
{
    for (const auto &[id, it] : m_records) {
        checkResponse(it);
        checkExecutions(it);
        checkInterruption(it);
    }
    checkConfigurationVersions();
    if (m_hasTimedChecks) {
        checkCuts();
    }
}

const std::vector<Violation> &Ledger::violations() const
{
    return m_violations;
}

void Ledger::checkResponse(const RequestRecord &it)
{
    if (it.status == 0) {
        return;
    }
    if (it.echoedRequestId != it.id) {
        addViolation("right caller", it.id, "the response carries Request-Id '" + it.echoedRequestId + "'");
    }
    if (it.status == 200 && it.signature.find(it.id) == std::string::npos) {
        addViolation("right caller", it.id, "the response has the signature '" + it.signature + "'");
    }
    if (it.status != 200) {
        return;
    }
    if (it.kind == RequestKind::Stream) {
        checkStream(it);
    } else if (it.isComplete && it.body.rfind("done " + it.id, 0) != 0) {
        addViolation("whole answer", it.id, "unexpected body '" + it.body.substr(0, 60) + "'");
    }
}

/** Event ids must have no gaps or repetitions; a stream that ended as complete must contain all events. */
void Ledger::checkStream(const RequestRecord &it)
{
    std::istringstream lines(it.body);
    std::string line;
    int last = 0;
    while (std::getline(lines, line)) {
        if (line.rfind("id: ", 0) == 0) {
            const int id = std::atoi(line.c_str() + 4);
            if (id != last + 1) {
                addViolation("stream order", it.id, "event " + std::to_string(id) + " follows " + std::to_string(last));
                return;
            }
            last = id;
        } else if (line.rfind("data: ", 0) == 0 && line != "data: " + it.id) {
            addViolation("right caller", it.id, "unexpected event line '" + line + "'");
            return;
        }
    }
    if (it.isComplete && last != it.expectedEvents) {
        addViolation("whole answer", it.id,
            "the stream ended as complete after " + std::to_string(last) + " of " + std::to_string(it.expectedEvents)
                + " events");
    }
}

void Ledger::checkExecutions(const RequestRecord &it)
{
    if (guaranteesNoExecution(it.status) && !it.executedOn.empty()) {
        addViolation("truthful not run", it.id,
            std::to_string(it.status) + " returned, but " + it.executedOn.front() + " executed the request");
    }
    if (it.status == 503 && !it.hasRetryAfter) {
        addViolation("Retry-After on 503", it.id, "503 without Retry-After");
    }
    if (it.kind == RequestKind::AtMostOnce && it.executedOn.size() > 1) {
        addViolation("at most once", it.id, "executed " + std::to_string(it.executedOn.size()) + " times");
    }
    const std::set<std::string> upstreams(it.executedOn.begin(), it.executedOn.end());
    if (upstreams.size() > maxAttempts) {
        addViolation("attempts", it.id, "executed on " + std::to_string(upstreams.size()) + " upstreams");
    }
}

bool Ledger::isWithinPlannedPhase(const RequestRecord &it) const
{
    return it.sentAt >= m_plannedFrom && it.endedAt <= m_plannedUntil;
}

void Ledger::checkInterruption(const RequestRecord &it)
{
    const bool isInterrupted = !it.isAbandoned && !it.isComplete && it.endedAt != MonoTime{};
    if (isInterrupted && isWithinPlannedPhase(it) && it.arrivalCount > 0 && !it.hasUpstreamFault) {
        addViolation("no cut by a planned stop", it.id,
            "process " + it.process + " ended the connection, status " + std::to_string(it.status) + ", "
                + std::to_string(it.arrivalCount) + " arrivals at upstreams");
    }
}

/**
 * A process must never return to an older configuration version. With timed checks, it must also apply a new version
 * within `maxApplyTime`.
 */
void Ledger::checkConfigurationVersions()
{
    struct VersionObservation
    {
        MonoTime endedAt{};
        std::uint64_t version = 0;
        const RequestRecord *record = nullptr;
    };
    std::map<std::string, std::vector<VersionObservation>> byProcess;
    for (const auto &[id, it] : m_records) {
        if (it.kind != RequestKind::Versioned || it.status != 200 || !it.isComplete) {
            continue;
        }
        const std::size_t at = it.body.find(" by ");
        const auto version = m_versionByService.find(at == std::string::npos ? std::string() : it.body.substr(at + 4));
        if (version == m_versionByService.end()) {
            addViolation("known configuration version", id, "unexpected body '" + it.body + "'");
            continue;
        }
        byProcess[it.process].push_back({it.endedAt, version->second, &it});
        const MonoTime sentAt = it.sentAt;
        const auto newest
            = std::find_if(m_versionPublishedAt.rbegin(), m_versionPublishedAt.rend(), [sentAt](const auto &entry) {
                  return entry.second + maxApplyTime < sentAt;
              });
        if (m_hasTimedChecks && isWithinPlannedPhase(it) && newest != m_versionPublishedAt.rend()
            && version->second < newest->first) {
            addViolation("configuration in force", id,
                "version " + std::to_string(version->second) + " was used although version "
                    + std::to_string(newest->first) + " should have been in force at " + it.process);
        }
    }
    for (auto &[process, observations] : byProcess) {
        std::sort(
            observations.begin(), observations.end(), [](const VersionObservation &a, const VersionObservation &b) {
                return a.endedAt < b.endedAt;
            });
        // Requests overlap, so an older version is a violation only if its request was sent after a newer response
        // ended.
        for (std::size_t i = 0; i < observations.size(); ++i) {
            for (std::size_t j = i + 1; j < observations.size(); ++j) {
                if (observations[j].record->sentAt > observations[i].endedAt
                    && observations[j].version < observations[i].version) {
                    addViolation("configuration never back", observations[j].record->id,
                        process + " returned from version " + std::to_string(observations[i].version) + " to "
                            + std::to_string(observations[j].version));
                    return;
                }
            }
        }
    }
}

std::map<std::string, std::size_t> Ledger::outcomeCounts() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[id, it] : m_records) {
        const bool isServed = it.status == 200 && it.isComplete;
        ++counts[isServed        ? "served"
                : it.isAbandoned ? "abandoned"
                : it.status == 0 ? "interrupted"
                                 : std::to_string(it.status)];
    }
    return counts;
}

} // namespace magnolia::soak
