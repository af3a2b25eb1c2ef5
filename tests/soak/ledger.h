// Records what callers and upstreams observe, and detects which guarantees were violated.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnolia::soak
{

enum class RequestKind {
    Stream,
    AtMostOnce,
    Idempotent,
    /** A plain call on the route that each configuration version maps to a different service. */
    Versioned,
};

/** One request, as seen by its caller and by the upstreams. */
struct RequestRecord
{
    std::string id;
    RequestKind kind = RequestKind::Idempotent;
    /** Instance name and start number, for example "g2#1". */
    std::string process;
    MonoTime sentAt{};
    MonoTime endedAt{};
    /** 0 if the connection ended before a response head. */
    int status = 0;
    bool isComplete = false;
    /** The caller closed the connection, at random or at its timeout. */
    bool isAbandoned = false;
    bool hasRetryAfter = false;
    int expectedEvents = 0;
    std::string body;
    std::string echoedRequestId;
    std::string signature;
    /** Upstreams that started to execute the request, in order of arrival. */
    std::vector<std::string> executedOn;
    /** Number of times that the request reached an upstream, executed or not. */
    int arrivalCount = 0;
    /** An upstream interrupted the request or was in a fault mode. */
    bool hasUpstreamFault = false;
};

struct Violation
{
    std::string guarantee;
    std::string requestId;
    std::string detail;
};

class Ledger
{
public:
    explicit Ledger(bool hasTimedChecks);

    RequestRecord &record(const std::string &id);
    [[nodiscard]] const std::map<std::string, RequestRecord> &records() const;

    void recordArrival(const std::string &id);
    void recordExecution(const std::string &id, const std::string &upstream);
    /** Records that the store lists `upstream` as leaving since `at`. */
    void recordLeaving(const std::string &upstream, MonoTime at);
    void clearLeaving(const std::string &upstream);
    /** Instances may be disconnected from the store until `until`, so they may learn late that an upstream is leaving.
     */
    void recordDisruption(MonoTime until);
    /** Checks, when a request arrives at `upstream`, that the upstream has not been leaving for too long. */
    void checkDrain(const std::string &id, const std::string &upstream, MonoTime now);
    /** Records that the store has acknowledged the item that evacuates `dataCentre`. */
    void recordEvacuation(const std::string &dataCentre, MonoTime at);
    void clearEvacuation(const std::string &dataCentre);
    /** Checks, when a request arrives in `dataCentre`, that this has not been evacuated for too long. */
    void checkEvacuation(const std::string &id, const std::string &dataCentre, MonoTime now);
    /** Records that `upstream` names a limit on the requests per second of all gateways from `at` on, or none. */
    void recordLimit(const std::string &upstream, std::optional<double> requestsPerSecond, MonoTime at);
    /** Checks, when a request arrives at `upstream`, that the gateways keep its limit. */
    void checkLimit(const std::string &id, const std::string &upstream, MonoTime now);
    /** Records that `upstream` has refused a request of gateway `process` and wants nothing from it for `time`. */
    void recordTurnedAway(const std::string &upstream, const std::string &process, MonoTime at, Milliseconds time);
    /** Checks, when a request arrives at `upstream` from gateway `process`, that this was not turned away. */
    void checkTurnedAway(const std::string &id, const std::string &upstream, const std::string &process, MonoTime now);
    /** Records that gateway `process` is stopping, paused or has just started, so that nobody counts on it. */
    void recordOutOfTouch(const std::string &process, MonoTime from, MonoTime until);
    /** Records that gateway `process` is cut from all upstreams. */
    void recordCut(const std::string &process, MonoTime from, MonoTime until);
    /** Declares what crashes each upstream that begins on it; after `maxCrashCount` crashes it is known. */
    void addCrashTrigger(const std::string &trigger, int maxCrashCount);
    void recordCrash(const std::string &trigger, MonoTime at);
    [[nodiscard]] int crashCount(const std::string &trigger) const;
    /** All gateways have lost what they knew of crashes. */
    void forgetCrashes();
    /** Returns when the gateways had to know the trigger; empty before. */
    [[nodiscard]] std::optional<MonoTime> crashTriggerKnownAt(const std::string &trigger) const;
    /** Checks, when a request with `trigger` reaches an upstream, that it had not to be known. */
    void checkCrashTrigger(const std::string &trigger, const std::string &id, MonoTime now);
    /** Sets the phase with planned actions only, in which no response may be interrupted. */
    void setPlannedPhase(MonoTime from, MonoTime until);
    void recordConfigurationVersion(std::uint64_t version, const std::string &service, MonoTime at);

    void addViolation(const std::string &guarantee, const std::string &requestId, const std::string &detail);
    /** Checks all records and adds the violations. Call once, at the end of the run. */
    void checkGuarantees();
    [[nodiscard]] const std::vector<Violation> &violations() const;
    /** Returns the number of requests by outcome, for the summary line. */
    [[nodiscard]] std::map<std::string, std::size_t> outcomeCounts() const;

private:
    void checkResponse(const RequestRecord &it);
    void checkStream(const RequestRecord &it);
    void checkExecutions(const RequestRecord &it);
    void checkInterruption(const RequestRecord &it);
    void checkConfigurationVersions();
    /** Callers of gateways that are cut from all upstreams are served nearly as often as others. */
    void checkCuts();
    [[nodiscard]] bool isWithinPlannedPhase(const RequestRecord &it) const;

    bool m_hasTimedChecks;
    std::map<std::string, RequestRecord> m_records;
    std::map<std::string, MonoTime> m_leavingSince;
    std::map<std::string, MonoTime> m_evacuatedSince;
    struct Limit
    {
        double requestsPerSecond = 0;
        MonoTime since{};
        std::deque<MonoTime> arrivals;
    };
    struct TurnedAway
    {
        MonoTime from{};
        MonoTime until{};
        int arrivalCount = 0;
    };

    struct CrashTrigger
    {
        int maxCrashCount = 0;
        int crashCount = 0;
        /** Time of crash number `maxCrashCount`. */
        std::optional<MonoTime> shownAt;
        int lateArrivalCount = 0;
    };

    struct Interval
    {
        std::string process;
        MonoTime from{};
        MonoTime until{};
    };

    std::map<std::string, Limit> m_limits;
    std::vector<Interval> m_cuts;
    std::vector<Interval> m_outOfTouch;
    std::map<std::string, CrashTrigger> m_crashTriggers;
    // By upstream and gateway process.
    std::map<std::pair<std::string, std::string>, TurnedAway> m_turnedAway;
    MonoTime m_disruptedUntil{};
    MonoTime m_plannedFrom{};
    MonoTime m_plannedUntil{};
    // Configuration version by the service of the versioned route.
    std::map<std::string, std::uint64_t> m_versionByService;
    std::map<std::uint64_t, MonoTime> m_versionPublishedAt;
    std::vector<Violation> m_violations;
};

} // namespace magnolia::soak
