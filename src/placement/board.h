// All requests that are known to run at the upstreams: this instance's own, and those that its peers tell of.
#pragma once

#include "placement/types/placement.h"

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnolia::placement
{

/** What the placements say of one upstream at one moment. */
struct UpstreamLoad
{
    struct Writer
    {
        Milliseconds gapTarget{0};
        double worth = 0;
    };

    /** Requests whose answer it gives, reading or writing. */
    int requests = 0;
    /** Parts that it reads for others. */
    int helping = 0;
    std::vector<Writer> writers;
    double writerContextTokens = 0;
    double memoryTokens = 0;
    /** Milliseconds until all that it has to read is read. */
    double readBacklogMs = 0;
    /** Requests among these that are not read yet. */
    int reads = 0;
};

class Board
{
public:
    /** How long one engine takes to read its even part of a prompt in `parts`; depends on the service. */
    using ReadCost = std::function<double(const Placement &placement)>;

    /** `owner` names the instance that placed it. A placement of the same id is replaced. */
    void put(const std::string &owner, const Placement &placement);
    void setWriting(PlacementId id, MonoTime now);
    void remove(PlacementId id, MonoTime now);
    /** Replaces all that `owner` told of before. */
    void replaceAll(const std::string &owner, const std::vector<Placement> &placements, MonoTime now);
    void forgetOwner(const std::string &owner, MonoTime now);

    [[nodiscard]] std::vector<Placement> placementsOf(const std::string &owner) const;
    [[nodiscard]] const Placement *find(PlacementId id) const;
    [[nodiscard]] std::size_t size() const;

    /** Loads of all upstreams that have any. `partMs` gives the reading time of one part of a placement. */
    [[nodiscard]] std::unordered_map<UpstreamKey, UpstreamLoad> loads(MonoTime now, const ReadCost &partMs) const;

private:
    struct Entry
    {
        std::string owner;
        Placement placement;
    };

    void noteReadEnd(const Placement &placement, MonoTime now);

    std::unordered_map<PlacementId, Entry> m_entries;
    // When an upstream last finished a read, so that the next in line is not taken to have begun before.
    std::unordered_map<UpstreamKey, MonoTime> m_lastReadEnd;
};

} // namespace magnolia::placement
