// Implements the record of cold upstreams.
#include "gateway/internal/coldupstreams.h"

#include "framework/logging/log.h"
#include "gateway/internal/coldrecord.h"
#include "gateway/internal/gatewaycontext.h"

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

/** Interval at which the known instances are read from the table of peers. */
constexpr Milliseconds instancesInterval{250};
/** Runs that are remembered after their entries are gone; a registration may lapse while its upstream lives. */
constexpr std::size_t maxKnownRuns = 8192;
/** Time since the last message of an instance after which peers are told of it as silent. */
constexpr Milliseconds silentInstanceAge{10'000};

std::uint32_t toMs(Milliseconds time)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, UINT32_MAX));
}

} // namespace

ColdUpstreams::ColdUpstreams(GatewayContext &context, MonoTime startedAt)
    : m_context(context)
    , m_table(startedAt)
    , m_instances(context.settings.instance.value(), startedAt)
{
}

void ColdUpstreams::setAnnouncer(std::function<void(const std::string &record)> announcer)
{
    m_announcer = std::move(announcer);
}

bool ColdUpstreams::isEnabled() const
{
    return m_context.settings.coldRatio && m_context.settings.coldSlack;
}

std::optional<limits::ColdBudget> ColdUpstreams::budgetOf(const KnownUpstream &upstream) const
{
    if (!isEnabled() || !m_context.catalogue) {
        return std::nullopt;
    }
    const auto service = m_context.catalogue->services.find(upstream.entry.service);
    // A comparison that fails for a value that is no number.
    if (service == m_context.catalogue->services.end() || !(service->second.coldRequestsPerSecond > 0)) {
        return std::nullopt;
    }
    return limits::coldBudget(
        service->second.coldRequestsPerSecond, *m_context.settings.coldRatio, *m_context.settings.coldSlack);
}

Milliseconds ColdUpstreams::coldTimeOf(const KnownUpstream &upstream) const
{
    const auto service = m_context.catalogue->services.find(upstream.entry.service);
    return service == m_context.catalogue->services.end() ? Milliseconds{0} : service->second.coldTime;
}

bool ColdUpstreams::markCold(
    const KnownUpstream &upstream, Milliseconds remaining, bool isOwnEvidence, std::string_view toldBy)
{
    if (!budgetOf(upstream)
        || !m_table.markCold(upstream.key, upstream.entry.startedAt, remaining, isOwnEvidence, m_context.loop.now())) {
        return false;
    }
    logging::write(logging::Level::Info, "gateway", "upstream_cold",
        {{"upstream", std::string_view(upstream.entry.id.value())}, {"remaining_ms", std::int64_t{remaining.count()}},
            {"told_by", toldBy}});
    return true;
}

void ColdUpstreams::announce(const KnownUpstream &upstream, Milliseconds remaining)
{
    if (m_announcer) {
        m_announcer(encodeColdRecord({{{upstream.key, upstream.entry.startedAt, toMs(remaining)}}, {}}));
    }
}

void ColdUpstreams::onAnswer(placement::UpstreamKey upstream, Milliseconds remaining)
{
    const KnownUpstream *known = m_context.upstreams.find(upstream);
    if (known != nullptr && markCold(*known, remaining, true, "answer")) {
        announce(*known, remaining);
    }
}

void ColdUpstreams::onReached(placement::UpstreamKey upstream)
{
    const KnownUpstream *known = m_context.upstreams.find(upstream);
    if (known == nullptr || !m_table.clearUnreachable(upstream, known->entry.startedAt) || !budgetOf(*known)) {
        return;
    }
    const Milliseconds coldTime = coldTimeOf(*known);
    (void)markCold(*known, coldTime, true, "reached_again");
    announce(*known, coldTime);
}

void ColdUpstreams::onUnreachable(placement::UpstreamKey upstream)
{
    const KnownUpstream *known = m_context.upstreams.find(upstream);
    if (known != nullptr && budgetOf(*known)) {
        m_table.markUnreachable(upstream, known->entry.startedAt, m_context.loop.now());
    }
}

void ColdUpstreams::onPublished(
    const std::map<std::string, published::PublishedState::UpstreamRecord> &upstreams, bool areRunsComplete)
{
    if (!isEnabled()) {
        return;
    }
    const MonoTime now = m_context.loop.now();
    for (const auto &[name, it] : upstreams) {
        const placement::UpstreamKey key = UpstreamIndex::keyOf(it.entry.id);
        const auto [run, isNew] = m_knownRuns.try_emplace(key, it.entry.startedAt);
        const bool isNewRun = isNew || run->second != it.entry.startedAt;
        run->second = it.entry.startedAt;
        const KnownUpstream *known = m_context.upstreams.find(key);
        if (known == nullptr || known->entry.startedAt != it.entry.startedAt) {
            continue;
        }
        if (it.coldUntil > now) {
            (void)markCold(*known, std::chrono::ceil<Milliseconds>(it.coldUntil - now), true, "entry");
        }
        if (isNewRun && areRunsComplete && budgetOf(*known)) {
            (void)markCold(*known, coldTimeOf(*known), true, "new_run");
        }
    }
    if (m_knownRuns.size() > maxKnownRuns) {
        std::erase_if(m_knownRuns, [this](const auto &it) {
            return m_context.upstreams.find(it.first) == nullptr;
        });
    }
}

void ColdUpstreams::markDataCentreCold(const DataCentreId &dataCentre)
{
    for (const auto &[key, it] : m_context.upstreams.all()) {
        if (it.entry.dataCentre == dataCentre && budgetOf(it)) {
            (void)markCold(it, coldTimeOf(it), true, "evacuation_ended");
        }
    }
}

void ColdUpstreams::recordRequest(placement::UpstreamKey upstream)
{
    const KnownUpstream *known = m_context.upstreams.find(upstream);
    if (known == nullptr || !budgetOf(*known)) {
        return;
    }
    m_table.recordRequest(upstream, m_context.loop.now());
    if (coldTimeLeft(*known) > Milliseconds{0}) {
        m_context.metrics.increment("magnolia_gateway_cold_requests_total");
    }
}

void ColdUpstreams::recordPeerRequest(placement::UpstreamKey upstream)
{
    const KnownUpstream *known = m_context.upstreams.find(upstream);
    if (known != nullptr && budgetOf(*known)) {
        m_table.recordPeerRequest(upstream, m_context.loop.now());
    }
}

Milliseconds ColdUpstreams::coldTimeLeft(const KnownUpstream &upstream) const
{
    return budgetOf(upstream) ? m_table.coldTimeLeft(upstream.key, upstream.entry.startedAt, m_context.loop.now())
                              : Milliseconds{0};
}

std::size_t ColdUpstreams::coldCount() const
{
    return m_table.coldCount(m_context.loop.now());
}

MonoTime ColdUpstreams::availableAt(const KnownUpstream &upstream)
{
    const MonoTime now = m_context.loop.now();
    if (!m_table.isCold(upstream.key, upstream.entry.startedAt, now)) {
        return now;
    }
    const auto budget = budgetOf(upstream);
    return budget ? m_table.availableAt(upstream.key, upstream.entry.startedAt, partOf(upstream, *budget), *budget, now)
                  : now;
}

bool ColdUpstreams::isUserOfCold(const KnownUpstream &upstream)
{
    if (!m_table.isCold(upstream.key, upstream.entry.startedAt, m_context.loop.now())) {
        return false;
    }
    const auto budget = budgetOf(upstream);
    return budget && partOf(upstream, *budget) > 0;
}

std::size_t ColdUpstreams::partOf(const KnownUpstream &upstream, const limits::ColdBudget &budget)
{
    updateInstances();
    const auto found = m_parts.find(upstream.key);
    if (found != m_parts.end() && found->second.maxRequests == budget.maxRequests) {
        return found->second.requests;
    }
    const std::size_t requests = limits::coldPart(
        upstream.key, m_context.settings.instance.value(), {m_instances.names(), m_isSettled}, budget);
    m_parts[upstream.key] = {budget.maxRequests, requests};
    return requests;
}

void ColdUpstreams::updateInstances()
{
    const MonoTime now = m_context.loop.now();
    if (m_instancesUpdatedAt && now - *m_instancesUpdatedAt < instancesInterval) {
        return;
    }
    m_instancesUpdatedAt = now;
    const fleet::PeerTable &table = m_context.fleet->table();
    for (const auto &[name, peer] : table.peers()) {
        if (peer.isLeaving && table.isSilent(peer, now)) {
            m_instances.remove(name);
        } else {
            m_instances.record(name, peer.lastHeardAt, now);
        }
    }
    m_instances.prune(now);
    const bool isSettled = m_instances.isSettled(now);
    if (m_partsGeneration != m_instances.generation() || m_isSettled != isSettled) {
        m_partsGeneration = m_instances.generation();
        m_isSettled = isSettled;
        m_parts.clear();
    }
}

std::string ColdUpstreams::ownRecord() const
{
    const MonoTime now = m_context.loop.now();
    ColdRecord record;
    for (const limits::ColdRun &it : m_table.ownEvidence(now)) {
        record.upstreams.push_back({it.upstream, it.startedAt, toMs(std::chrono::ceil<Milliseconds>(it.until - now))});
    }
    for (const auto &[name, heardAt] : m_instances.silentSince(now - silentInstanceAge)) {
        record.silentInstances.push_back({name, toMs(toMilliseconds(now - heardAt))});
    }
    return encodeColdRecord(std::move(record));
}

void ColdUpstreams::onPeerRecord(const std::string &peer, std::string_view record)
{
    const auto decoded = isEnabled() ? decodeColdRecord(record) : std::nullopt;
    if (!decoded) {
        return;
    }
    const MonoTime now = m_context.loop.now();
    for (const ColdUpstreamRecord &it : decoded->upstreams) {
        const KnownUpstream *known = m_context.upstreams.find(it.upstream);
        if (known == nullptr || known->entry.startedAt != it.startedAt || it.remainingMs == 0) {
            continue;
        }
        (void)m_table.clearUnreachable(it.upstream, it.startedAt);
        (void)markCold(*known, Milliseconds(it.remainingMs), false, peer);
    }
    for (const SilentInstanceRecord &it : decoded->silentInstances) {
        m_instances.record(it.instance, now - Milliseconds(it.ageMs), now);
    }
    m_instancesUpdatedAt.reset();
}

void ColdUpstreams::expire()
{
    if (!isEnabled()) {
        return;
    }
    updateInstances();
    for (const limits::ColdRun &it : m_table.expire(m_context.loop.now())) {
        logging::write(logging::Level::Info, "gateway", "upstream_warm",
            {{"upstream", std::string_view(m_context.upstreams.idOf(it.upstream))}});
    }
}

} // namespace magnolia::gateway
