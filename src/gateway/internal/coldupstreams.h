// Finds out which upstreams are cold and keeps this instance's part of their budgets.
//
// An upstream that has started during traffic, or that could not be seen for a while, crashes above a published rate of
// requests. The decisions are in limits/coldbudget.h and limits/coldtable.h. Nothing is in force unless the settings
// have both bounds and the service of the upstream has a budget.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "limits/coldbudget.h"
#include "limits/coldtable.h"
#include "limits/instancememory.h"
#include "placement/types/placement.h"
#include "published/publishedstate.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace magnolia::gateway
{

struct GatewayContext;
struct KnownUpstream;

class ColdUpstreams
{
public:
    /** `startedAt` is the start of this instance. */
    ColdUpstreams(GatewayContext &context, MonoTime startedAt);

    /** Sets a function that tells all live peers a record (coldrecord.h). */
    void setAnnouncer(std::function<void(const std::string &record)> announcer);

    /** Whether the settings have budgets of cold upstreams. */
    [[nodiscard]] bool isEnabled() const;
    /** Returns the budget of an upstream while it is cold; empty if it has none. */
    [[nodiscard]] std::optional<limits::ColdBudget> budgetOf(const KnownUpstream &upstream) const;

    /** Records that an upstream has stated in an answer how long it stays cold. */
    void onAnswer(placement::UpstreamKey upstream, Milliseconds remaining);
    /** Records that an upstream was reached, and is cold from now on if it could not be reached before. */
    void onReached(placement::UpstreamKey upstream);
    /** Records that an upstream could not be reached while others could, so that its state is not known. */
    void onUnreachable(placement::UpstreamKey upstream);
    /**
     * Reads the published upstreams. `areRunsComplete` tells whether all runs were known before this change, so that a
     * run that is new now has just started.
     */
    void onPublished(
        const std::map<std::string, published::PublishedState::UpstreamRecord> &upstreams, bool areRunsComplete);
    /** Marks all upstreams of a data centre cold for the cold time of their services, for the end of an evacuation. */
    void markDataCentreCold(const DataCentreId &dataCentre);

    /** Counts a request that is being sent to an upstream. */
    void recordRequest(placement::UpstreamKey upstream);
    /** Counts a request that a peer has announced. */
    void recordPeerRequest(placement::UpstreamKey upstream);
    /** Returns the time from which the upstream takes a request of this instance; now if it takes one now. */
    [[nodiscard]] MonoTime availableAt(const KnownUpstream &upstream);
    /** Whether the upstream is cold and this instance is one of its users. */
    [[nodiscard]] bool isUserOfCold(const KnownUpstream &upstream);
    /** Returns the time for which an upstream stays cold; 0 if it is warm or has no budget. */
    [[nodiscard]] Milliseconds coldTimeLeft(const KnownUpstream &upstream) const;
    [[nodiscard]] std::size_t coldCount() const;

    /** Returns the record of what this instance itself knows, for peers. */
    [[nodiscard]] std::string ownRecord() const;
    void onPeerRecord(const std::string &peer, std::string_view record);

    /** Reports upstreams that have become warm, and follows the known instances; call it several times a second. */
    void expire();

private:
    struct Part
    {
        std::size_t maxRequests = 0;
        std::size_t requests = 0;
    };

    [[nodiscard]] Milliseconds coldTimeOf(const KnownUpstream &upstream) const;
    /** Returns whether the run was warm before. */
    bool markCold(const KnownUpstream &upstream, Milliseconds remaining, bool isOwnEvidence, std::string_view toldBy);
    void announce(const KnownUpstream &upstream, Milliseconds remaining);
    /** Brings the known instances up to date. */
    void updateInstances();
    [[nodiscard]] std::size_t partOf(const KnownUpstream &upstream, const limits::ColdBudget &budget);

    GatewayContext &m_context;
    limits::ColdTable m_table;
    limits::InstanceMemory m_instances;
    std::function<void(const std::string &record)> m_announcer;
    // Start times of the runs that have been published.
    std::unordered_map<placement::UpstreamKey, std::uint64_t> m_knownRuns;
    // Parts of this instance for one view of the fleet.
    std::unordered_map<placement::UpstreamKey, Part> m_parts;
    std::uint64_t m_partsGeneration = 0;
    bool m_isSettled = false;
    std::optional<MonoTime> m_instancesUpdatedAt;
};

} // namespace magnolia::gateway
