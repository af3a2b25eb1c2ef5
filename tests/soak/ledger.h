// What callers and upstreams saw, and which promises that breaks.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace magnolia::soak
{

enum class WorkKind {
    Stream,
    AtMostOnce,
    Idempotent,
    /** A plain call on the route that each configuration version gives another service. */
    Versioned,
};

/** One request, from all sides. */
struct Record
{
    std::string id;
    WorkKind kind = WorkKind::Idempotent;
    /** Instance and start, as "2#1". */
    std::string process;
    MonoTime sentAt{};
    MonoTime endedAt{};
    /** 0: the connection ended without the head of an answer. */
    int status = 0;
    bool isComplete = false;
    /** The caller left by itself, or its time was over. */
    bool isLeft = false;
    bool hasRetryAfter = false;
    int eventsExpected = 0;
    std::string body;
    std::string echoedId;
    std::string signature;
    /** Upstreams that began to run it, by arrival. */
    std::vector<std::string> ranOn;
    /** Upstreams that it reached at all. */
    int arrivals = 0;
    /** An upstream broke it off, or failed on purpose. */
    bool metUpstreamFault = false;
};

struct Violation
{
    std::string promise;
    std::string request;
    std::string detail;
};

class Ledger
{
public:
    explicit Ledger(bool hasTimedChecks);

    Record &record(const std::string &id);
    [[nodiscard]] const std::map<std::string, Record> &records() const;

    void onArrival(const std::string &id);
    void onRun(const std::string &id, const std::string &upstream);
    /** `upstream` was told in the store to be leaving. */
    void onLeaving(const std::string &upstream, MonoTime at);
    void onUpstreamGone(const std::string &upstream);
    /** Until then instances may be out of touch with the store, so that a leaving may reach them late. */
    void noteTrouble(MonoTime until);
    /** A request for `upstream` came. */
    void checkDrain(const std::string &id, const std::string &upstream, MonoTime now);
    /** While only planned work is under way, no answer may be cut. */
    void setPlannedOnly(MonoTime from, MonoTime until);
    void noteVersion(std::uint64_t version, const std::string &service, MonoTime at);

    void add(const std::string &promise, const std::string &request, const std::string &detail);
    /** Judges all that was recorded; call once at the end. */
    void judge();
    [[nodiscard]] const std::vector<Violation> &violations() const;
    /** Counts of outcomes, for the closing line. */
    [[nodiscard]] std::map<std::string, std::size_t> summary() const;

private:
    void judgeAnswer(const Record &it);
    void judgeStream(const Record &it);
    void judgeRuns(const Record &it);
    void judgeLost(const Record &it);
    void judgeVersions();
    [[nodiscard]] bool isWithinPlanned(const Record &it) const;

    bool m_hasTimedChecks;
    std::map<std::string, Record> m_records;
    std::map<std::string, MonoTime> m_leavingSince;
    MonoTime m_troubleUntil{};
    MonoTime m_plannedFrom{};
    MonoTime m_plannedUntil{};
    // Service of the versioned route to its version.
    std::map<std::string, std::uint64_t> m_versionOf;
    std::map<std::uint64_t, MonoTime> m_versionAt;
    std::vector<Violation> m_violations;
};

} // namespace magnolia::soak
