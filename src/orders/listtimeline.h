// History of the entries in the published list, limited to what this instance knows for certain.
#pragma once

#include "blackboard/types/publishedlist.h"
#include "framework/global/types/time.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace magnolia::orders
{

/** Lists of consecutive revisions with the same entries. */
struct ListPeriod
{
    std::uint64_t firstRevision = 0;
    std::uint64_t lastRevision = 0;
    /** Timestamps of the first and last list seen in the period. */
    WallTime firstGeneratedAt{};
    WallTime lastGeneratedAt{};
    /** Some revisions before the period were not seen. */
    bool hasGapBefore = false;
    /** Entries that are not leaving, in ascending order. */
    std::vector<std::string> members;
};

class ListTimeline
{
public:
    /** Records a list. Ignores lists with a lower revision, an older timestamp or one later than `latest`. */
    void apply(const PublishedList &list, WallTime latest);
    /** Removes periods that ended before `time`, except the last of them. */
    void removeBefore(WallTime time);

    /**
     * All periods that may have applied at any time in [from, to]. Empty if that is uncertain: before the first list
     * seen, after the last one, or across revisions that were not seen.
     */
    [[nodiscard]] std::span<const ListPeriod> periodsCovering(WallTime from, WallTime to) const;
    /** The newest period; null if no list was seen. */
    [[nodiscard]] const ListPeriod *newest() const
    {
        return m_periods.empty() ? nullptr : &m_periods.back();
    }

private:
    // Invariant: ascending by revision and timestamp; at most maxPeriods.
    std::vector<ListPeriod> m_periods;
};

} // namespace magnolia::orders
