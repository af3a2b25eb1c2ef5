// Finds out which broken attempts were crashes of their upstreams, and which requests cause them.
//
// A connection also ends when it is reset, when the path to the upstream is cut or when the upstream leaves. It was a
// crash if the upstream's host then refuses new connections while another upstream takes them: the host lives, the
// process is gone and this instance is not cut off.
#pragma once

#include "quarantine/quarantinetable.h"

#include "framework/eventloop/eventloop.h"
#include "gateway/internal/pathmonitor.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::fleet
{
struct CrashRecord;
struct QuarantineRecord;
}

namespace magnolia::gateway
{

struct GatewayContext;

/** An attempt whose connection ended before the answer was complete. */
struct BrokenAttempt
{
    std::string requestId;
    quarantine::UpstreamRun run;
    MonoTime sentAt{};
    /** Whether the upstream may have been beginning with the request. */
    bool isBeginning = false;
    quarantine::RequestTraits traits;
};

class CrashMonitor
{
public:
    explicit CrashMonitor(GatewayContext &context);

    void onAttemptBroken(BrokenAttempt attempt);
    /** `request` is the fingerprint of the request itself among the suspects. */
    void onSuccess(const quarantine::RequestTraits &traits, quarantine::Fingerprint request);
    /** Returns the quarantine by which a request is refused now, and logs it. */
    [[nodiscard]] std::optional<quarantine::QuarantineEntry> refusal(
        const std::string &requestId, const quarantine::RequestTraits &traits);

    void onPeerCrash(const fleet::CrashRecord &record, const std::string &peer);
    void onPeerSuccess(const std::vector<std::uint64_t> &suspects);
    void onPeerQuarantine(const fleet::QuarantineRecord &record, const std::string &peer);
    [[nodiscard]] std::vector<fleet::QuarantineRecord> quarantineRecords() const;
    [[nodiscard]] const quarantine::QuarantineTable &table() const;
    /** An upstream that starts again after a crash that a request caused is not left out for it. */
    void onUpstreamsChanged();
    /** Removes outdated entries; call it from time to time. */
    void expire();

private:
    struct PendingRun
    {
        std::vector<BrokenAttempt> attempts;
        MonoTime endedAt{};
    };

    void onInvestigated(const quarantine::UpstreamRun &run, PathFinding finding, Reachability reachability);
    void reportCrash(const BrokenAttempt &attempt, MonoTime endedAt);
    void scheduleUpdate();
    void update();
    /** Whether this instance sends the trial requests of an entry; all instances choose the same one. */
    [[nodiscard]] bool mayTry(const quarantine::QuarantineEntry &entry) const;

    GatewayContext &m_context;
    quarantine::QuarantineTable m_table;
    // Runs that are being investigated.
    std::map<quarantine::UpstreamRun, PendingRun> m_pending;
    // Runs that have crashed, with the time of the crash.
    std::map<quarantine::UpstreamRun, MonoTime> m_crashed;
    // Runs that were crashed by requests, by upstream.
    std::map<std::uint64_t, std::uint64_t> m_explained;
    bool m_isUpdateScheduled = false;
    // Expires with the monitor, so that pending callbacks do nothing after it.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace magnolia::gateway
