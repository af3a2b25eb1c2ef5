// All requests known to run on the upstreams: those of this instance and those reported by its peers.
//
// Engines prefill parts of split prompts for other engines before their own prompts, each group in order of arrival.
// The table advances these queues in time, so that predictions account for the prefill already done.
#pragma once

#include "placement/types/placement.h"

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnolia::placement
{

/** Load of an upstream at a point in time, derived from the placements. */
struct PlacementLoad
{
    struct DecodingRequest
    {
        Milliseconds gapTarget{0};
        double worth = 0;
    };
    /** A prompt of the upstream itself that waits for prefill or is in prefill. */
    struct PendingPrefill
    {
        double worth = 0;
        /** Time by which its prefill may be delayed and still meet the target; negative if already late. */
        double slackMs = 0;
        /** Target for the longest gap between its events once it decodes. */
        Milliseconds gapTarget{0};
    };

    /** Requests with this upstream as primary, in prefill or decode. */
    int requests = 0;
    /** Those of `requests` that are late and wait behind all requests that can be on time. */
    int waitingLate = 0;
    /** Prompt parts to prefill for other engines. */
    int helperPrefills = 0;
    std::vector<DecodingRequest> decodingRequests;
    std::vector<PendingPrefill> pendingPrefills;
    double decodeContextTokens = 0;
    double usedKvTokens = 0;
    /** Milliseconds until the parts for other engines are prefilled. */
    double helperBacklogMs = 0;
    /** Milliseconds until its own prompts are prefilled as well. */
    double backlogMs = 0;
    /** Tokens of the longest prompt that waits for prefill or is in prefill. */
    double longestPrefillTokens = 0;
};

class PlacementTable
{
public:
    /** Returns the time in which an otherwise idle engine prefills its part of a placement, in milliseconds. */
    using PrefillCost = std::function<double(const Placement &placement)>;

    explicit PlacementTable(PrefillCost prefillCost);

    /** Adds a placement made by the instance `owner`, replacing any placement with the same id. */
    void put(const std::string &owner, const Placement &placement, MonoTime now);
    void setDecoding(PlacementId id, MonoTime now);
    void remove(PlacementId id, MonoTime now);
    /** Replaces the set of placements known from `owner`; a placement that is already known is not overwritten. */
    void replaceAll(const std::string &owner, const std::vector<Placement> &placements, MonoTime now);
    void removeOwner(const std::string &owner, MonoTime now);
    /**
     * Removes the placements of silent instances whose requests are expected to have ended; see silentowner.h.
     * `silentOwners` has the time at which each of them was last heard, and `decodeMs` returns the estimated time from
     * the first event of a placement to the last, in milliseconds. Returns the number of removed placements.
     */
    std::size_t removeExpired(const std::unordered_map<std::string, MonoTime> &silentOwners,
        const std::function<double(const Placement &placement)> &decodeMs, MonoTime now);

    [[nodiscard]] std::vector<Placement> placementsOf(const std::string &owner) const;
    [[nodiscard]] const Placement *find(PlacementId id) const;
    [[nodiscard]] std::size_t size() const;
    /** Returns the number of requests with `upstream` as primary. */
    [[nodiscard]] int requestCount(UpstreamKey upstream) const;

    /** Returns the loads of all upstreams with at least one placement. */
    [[nodiscard]] std::unordered_map<UpstreamKey, PlacementLoad> loads(MonoTime now);

private:
    struct Entry
    {
        std::string owner;
        Placement placement;
        double partPrefillMs = 0;
    };
    struct Prefill
    {
        PlacementId id = 0;
        bool isHelper = false;
        double remainingMs = 0;
    };
    /** Parts for other engines first, then own prompts, each in order of arrival. */
    struct PrefillQueue
    {
        std::vector<Prefill> prefills;
        MonoTime advancedTo{};
    };

    void enqueue(UpstreamKey upstream, const Entry &entry, bool isHelper, MonoTime now);
    void dequeue(const Placement &placement, MonoTime now);
    void advance(PrefillQueue &queue, MonoTime now) const;

    PrefillCost m_prefillCost;
    std::unordered_map<PlacementId, Entry> m_entries;
    // Invariant: holds the prefills of all entries that do not decode yet, except helper parts predicted to be done.
    std::unordered_map<UpstreamKey, PrefillQueue> m_queues;
};

} // namespace magnolia::placement
