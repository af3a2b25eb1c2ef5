// History of the published list as periods.
#include "orders/listtimeline.h"

#include "blackboard/activeentries.h"

#include <algorithm>

namespace magnolia::orders
{

namespace
{

constexpr std::size_t maxPeriods = 64;

} // namespace

void ListTimeline::apply(const PublishedList &list, WallTime latest)
{
    if (list.revision == 0 || list.generatedAt > latest) {
        return;
    }
    std::vector<std::string> members = activeEntries(list);
    bool hasGap = false;
    if (!m_periods.empty()) {
        ListPeriod &last = m_periods.back();
        if (list.revision < last.lastRevision || list.generatedAt < last.lastGeneratedAt) {
            return;
        }
        const bool isSame = members == last.members;
        if (isSame && list.revision <= last.lastRevision + 1) {
            last.lastRevision = list.revision;
            last.lastGeneratedAt = list.generatedAt;
            return;
        }
        // Two different lists with the same revision are treated like a gap in the revisions.
        hasGap = list.revision != last.lastRevision + 1;
    }
    m_periods.push_back({list.revision, list.revision, list.generatedAt, list.generatedAt, hasGap, std::move(members)});
    if (m_periods.size() > maxPeriods) {
        m_periods.erase(m_periods.begin());
    }
}

void ListTimeline::removeBefore(WallTime time)
{
    const auto isOld = [time](const ListPeriod &period) {
        return period.lastGeneratedAt < time;
    };
    auto it = std::find_if_not(m_periods.begin(), m_periods.end(), isOld);
    // Keeps the last old period, which applies until the next period's first timestamp.
    if (it != m_periods.begin()) {
        m_periods.erase(m_periods.begin(), std::prev(it));
    }
}

std::span<const ListPeriod> ListTimeline::periodsCovering(WallTime from, WallTime to) const
{
    if (m_periods.empty() || from < m_periods.front().firstGeneratedAt || to > m_periods.back().lastGeneratedAt) {
        return {};
    }
    // Between the timestamps of two periods, either may have applied.
    auto first = std::find_if(m_periods.begin(), m_periods.end(), [from](const ListPeriod &period) {
        return period.lastGeneratedAt >= from;
    });
    if (first->firstGeneratedAt > from) {
        --first;
    }
    auto last = first;
    while (last->lastGeneratedAt < to) {
        ++last;
        if (last->hasGapBefore) {
            return {};
        }
    }
    return {first, std::next(last)};
}

} // namespace magnolia::orders
