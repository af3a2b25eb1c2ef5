// All requests that are known to run at the upstreams: this instance's own, and those that its peers tell of.
//
// Engines read their parts of divided prompts before prompts of their own, and each of the two in order of arrival. The
// board plays these queues forward in time, so that a prediction knows what has been read already.
#pragma once

#include "placement/types/placement.h"

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnolia::placement
{

/** What the placements say of one upstream at one moment. */
struct PlacementLoad
{
    struct DecodingRequest
    {
        Milliseconds gapTarget{0};
        double worth = 0;
    };
    /** A prompt of its own that waits or is read. */
    struct PendingPrefill
    {
        double worth = 0;
        /** How much later it may be read and still be on time; negative where it is late already. */
        double slackMs = 0;
        /** Longest pause between its events, once it writes. */
        Milliseconds gapTarget{0};
    };

    /** Requests whose answer it gives, reading or writing. */
    int requests = 0;
    /** Requests among these that are late and wait behind all that can be on time. */
    int waitingLate = 0;
    /** Parts that it reads for others. */
    int helperPrefills = 0;
    std::vector<DecodingRequest> decodingRequests;
    std::vector<PendingPrefill> pendingPrefills;
    double decodeContextTokens = 0;
    double usedKvTokens = 0;
    /** Milliseconds until the parts that it reads for others are read. */
    double helperBacklogMs = 0;
    /** Milliseconds until its own prompts are read too. */
    double backlogMs = 0;
    /** Tokens of the longest prompt that waits or is read there. */
    double longestPrefillTokens = 0;
};

class PlacementTable
{
public:
    /** Milliseconds in which one engine reads its part of a placement alone. */
    using PrefillCost = std::function<double(const Placement &placement)>;

    explicit PlacementTable(PrefillCost partMs);

    /** `owner` names the instance that placed it. A placement of the same id is replaced. */
    void put(const std::string &owner, const Placement &placement, MonoTime now);
    void setDecoding(PlacementId id, MonoTime now);
    void remove(PlacementId id, MonoTime now);
    /** Replaces all that `owner` told of before. */
    void replaceAll(const std::string &owner, const std::vector<Placement> &placements, MonoTime now);
    void removeOwner(const std::string &owner, MonoTime now);

    [[nodiscard]] std::vector<Placement> placementsOf(const std::string &owner) const;
    [[nodiscard]] const Placement *find(PlacementId id) const;
    [[nodiscard]] std::size_t size() const;
    /** Requests whose answer `upstream` gives. */
    [[nodiscard]] int requestsOf(UpstreamKey upstream) const;

    /** Loads of all upstreams that have any. */
    [[nodiscard]] std::unordered_map<UpstreamKey, PlacementLoad> loads(MonoTime now);

private:
    struct Entry
    {
        std::string owner;
        Placement placement;
        double partMs = 0;
    };
    struct Read
    {
        PlacementId id = 0;
        bool isHelper = false;
        double leftMs = 0;
    };
    /** Parts for others first, then its own, each in the order of arrival. */
    struct ReadQueue
    {
        std::vector<Read> reads;
        MonoTime playedTo{};
    };

    void enqueue(UpstreamKey upstream, const Entry &entry, bool isHelper, MonoTime now);
    void dequeue(const Placement &placement, MonoTime now);
    void play(ReadQueue &queue, MonoTime now) const;

    PrefillCost m_partMs;
    std::unordered_map<PlacementId, Entry> m_entries;
    // Invariant: holds exactly the reads of entries that are not writing yet, but for parts that are surely read.
    std::unordered_map<UpstreamKey, ReadQueue> m_queues;
};

} // namespace magnolia::placement
