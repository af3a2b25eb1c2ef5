// All requests known to run on the upstreams: those of this instance and those reported by its peers.
//
// Engines prefill parts of split prompts for other engines before their own prompts, each group in order of arrival.
// The table advances these queues in time, so that predictions account for the prefill already done.
#pragma once

#include "catalogue/types/enginemodel.h"
#include "placement/speedtable.h"
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
    };
    /** A prompt of the upstream itself that waits for prefill or is in prefill. */
    struct PendingPrefill
    {
        /** Time by which its prefill may be delayed and still serve its caller; negative if the caller leaves anyway.
         */
        double slackMs = 0;
        /** Target for the longest gap between its events once it decodes. */
        Milliseconds gapTarget{0};
    };

    /** Memory that a request holds here. */
    struct MemoryHold
    {
        double tokens = 0;
        /** Time until its response is expected to end, at the published speed. */
        double endsInMs = 0;
    };

    /** Requests with this upstream as primary, in prefill or decode. */
    int requests = 0;
    /** Prompt parts to prefill for other engines. */
    int helperPrefills = 0;
    std::vector<DecodingRequest> decodingRequests;
    std::vector<PendingPrefill> pendingPrefills;
    std::vector<MemoryHold> memoryHolds;
    double decodeContextTokens = 0;
    /** Output of all requests with this upstream as primary. */
    double outputTokens = 0;
    double usedKvTokens = 0;
    /** Milliseconds of prefill at the published speed that the parts for other engines need. */
    double helperBacklogMs = 0;
    /** The same with its own prompts. */
    double backlogMs = 0;
    /** Tokens of the longest prompt that waits for prefill or is in prefill. */
    double longestPrefillTokens = 0;
};

class PlacementTable
{
public:
    /** Returns the time in which an otherwise idle engine prefills its part of a placement, in milliseconds. */
    using PrefillCost = std::function<double(const Placement &placement)>;

    /** Returns the model of the primary's engine, or null if it is unknown; its speed is not measured then. */
    using EngineOf = std::function<const catalogue::EngineModel *(const Placement &placement)>;

    explicit PlacementTable(PrefillCost prefillCost, EngineOf engineOf = {});

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

    /** Returns the ratio of measured to published time of an engine, from the first events of all placements. */
    [[nodiscard]] double slowdown(UpstreamKey upstream, MonoTime now) const;
    /** Returns the loads of all upstreams with at least one placement. */
    [[nodiscard]] std::unordered_map<UpstreamKey, PlacementLoad> loads(MonoTime now);

private:
    struct Entry
    {
        std::string owner;
        Placement placement;
        double partPrefillMs = 0;
        /** Estimated time from the first event to the last; 0 if the engine's model is unknown. */
        double decodeMs = 0;
        /** Time of the first event, or from which this instance knows of it. */
        MonoTime decodingSince{};
        /** Times to the first event by engine, without helpers first the primary; empty if not to be measured. */
        std::vector<ExpectedFirstEvent> expected;
    };
    /** Requests with an upstream as primary. */
    struct Requests
    {
        int count = 0;
        int decodingCount = 0;
        double decodeContextTokens = 0;
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
    void advance(UpstreamKey upstream, PrefillQueue &queue, MonoTime now) const;
    void count(const Placement &placement, int change);
    [[nodiscard]] std::vector<ExpectedFirstEvent> expectedFirstEvents(const Entry &entry, MonoTime now);
    [[nodiscard]] double expectedDecodeMs(const Placement &placement) const;

    PrefillCost m_prefillCost;
    EngineOf m_engineOf;
    SpeedTable m_speeds;
    // Invariant: counts the entries by primary; an upstream without entries has none.
    std::unordered_map<UpstreamKey, Requests> m_requests;
    std::unordered_map<PlacementId, Entry> m_entries;
    // Invariant: holds the prefills of all entries that do not decode yet, except helper parts predicted to be done.
    std::unordered_map<UpstreamKey, PrefillQueue> m_queues;
};

} // namespace magnolia::placement
