// Sole writer of the blackboard's health section.
#include "entry/upstreamhealthtracker.h"

#include "entry/upstreamhealthrules.h"
#include "framework/logging/log.h"

#include <set>

namespace magnolia::entry
{

UpstreamHealthTracker::UpstreamHealthTracker(Blackboard &blackboard)
    : m_blackboard(blackboard)
{
}

void UpstreamHealthTracker::setLeavingHandler(LeavingHandler handler)
{
    m_leavingHandler = std::move(handler);
}

void UpstreamHealthTracker::recordAttempt(const UpstreamId &upstream, AttemptEnd end, MonoTime now)
{
    update(upstream, [end, now](const UpstreamHealth &before) {
        return healthAfter(before, end, now);
    });
}

void UpstreamHealthTracker::recordReportedLeaving(const UpstreamId &upstream, bool isLeaving)
{
    update(upstream, [isLeaving](UpstreamHealth health) {
        health.isLeaving = isLeaving;
        return health;
    });
}

void UpstreamHealthTracker::update(
    const UpstreamId &upstream, const std::function<UpstreamHealth(UpstreamHealth)> &rule)
{
    bool hasLeavingChanged = false;
    bool isLeaving = false;
    {
        const std::scoped_lock lock(m_mutex);
        const auto current = m_blackboard.health.read();
        const auto it = current->upstreams.find(upstream);
        const UpstreamHealth before = it == current->upstreams.end() ? UpstreamHealth() : it->second;
        const UpstreamHealth after = rule(before);
        if (after == before) {
            return;
        }
        hasLeavingChanged = after.isLeaving != before.isLeaving;
        isLeaving = after.isLeaving;
        UpstreamHealthTable table = *current;
        table.upstreams[upstream] = after;
        m_blackboard.health.write(std::move(table));
    }
    if (hasLeavingChanged) {
        logging::write(logging::Level::Info, "entry", isLeaving ? "upstream_leaving" : "upstream_back",
            {{"upstream", std::string_view(upstream.value())}});
        if (m_leavingHandler) {
            m_leavingHandler(upstream, isLeaving);
        }
    }
}

void UpstreamHealthTracker::removeUnlisted()
{
    const auto list = m_blackboard.publishedList.read();
    if (list->revision == 0) {
        return;
    }
    std::set<UpstreamId> listed;
    for (const PublishedInstance &instance : list->instances) {
        listed.emplace(instance.id);
    }
    const std::scoped_lock lock(m_mutex);
    UpstreamHealthTable table = *m_blackboard.health.read();
    const auto removedCount = std::erase_if(table.upstreams, [&listed](const auto &row) {
        return !listed.contains(row.first);
    });
    if (removedCount > 0) {
        m_blackboard.health.write(std::move(table));
    }
}

} // namespace magnolia::entry
