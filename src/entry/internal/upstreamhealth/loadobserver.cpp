// Requests load reports from upstreams, writes them to the blackboard and exchanges them with peers.
#include "entry/loadobserver.h"

#include "entry/internal/run/jsoncall.h"
#include "entry/internal/run/upstreamassignment.h"
#include "entry/upstreamhealthtracker.h"
#include "framework/logging/log.h"
#include "observing/loadmerge.h"
#include "peerlink/binarycodec.h"
#include "peerlink/ipeertransport.h"

#include <cereal/types/vector.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia::entry
{

namespace
{

constexpr int httpOk = 200;
constexpr std::size_t maxReportBytes = 4096;

UpstreamLoad toLoad(const nlohmann::json &report, MonoTime now)
{
    UpstreamLoad load;
    load.running = report.value("running", 0U);
    load.waiting = report.value("waiting", 0U);
    load.queuedPrefill = Tokens(report.value("queued_prefill_tokens", std::uint64_t{0}));
    load.freeMemory = Tokens(report.value("free_memory_tokens", std::uint64_t{0}));
    load.measuredAt = now - Milliseconds(report.value("measured_ago_ms", std::uint64_t{0}));
    return load;
}

} // namespace

LoadObserver::LoadObserver(InstanceId self, DataCentreId dataCentre, Blackboard &blackboard, const IClock &clock,
    upstreams::IUpstreamClient &client, peerlink::IPeerTransport &transport, UpstreamHealthTracker &health)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_blackboard(blackboard)
    , m_clock(clock)
    , m_client(client)
    , m_transport(transport)
    , m_health(health)
{
}

LoadObserver::~LoadObserver()
{
    m_transport.setDatagramHandler(peerlink::MessageType::LoadRows, {});
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void LoadObserver::start()
{
    m_transport.setDatagramHandler(peerlink::MessageType::LoadRows, [this](const peerlink::ReceivedMessage &message) {
        receiveRows(message.payload);
    });
    for (std::size_t i = 0; i < workerCount; ++i) {
        m_threads.emplace_back([this, i] {
            run(i);
        });
    }
}

void LoadObserver::run(std::size_t worker)
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        observeRound(worker);
        lock.lock();
        m_wake.wait_for(lock, roundInterval);
    }
}

void LoadObserver::observeRound(std::size_t worker)
{
    const std::vector<PublishedInstance> upstreams = assigned();
    for (std::size_t i = worker; i < upstreams.size(); i += workerCount) {
        observe(upstreams[i]);
    }
    if (worker == 0 && m_clock.monotonicNow() >= m_nextSendAt) {
        sendRowsToPeers();
    }
}

std::vector<PublishedInstance> LoadObserver::assigned() const
{
    return assignedUpstreams(*m_blackboard.publishedList.read(), *m_blackboard.membership.read(), m_self, m_dataCentre);
}

void LoadObserver::observe(const PublishedInstance &upstream)
{
    const auto answer = callJson(m_client, upstream.address, "GET", "/v1/load", "", queryTimeout, maxReportBytes);
    if (!answer || answer->status != httpOk || !answer->body.is_object()) {
        return;
    }
    if (const auto leaving = answer->body.find("leaving"); leaving != answer->body.end() && leaving->is_boolean()) {
        m_health.recordReportedLeaving(UpstreamId(upstream.id), leaving->get<bool>());
    }
    const std::scoped_lock lock(m_tableMutex);
    LoadTable table = *m_blackboard.load.read();
    try {
        table.upstreams[UpstreamId(upstream.id)] = toLoad(answer->body, m_clock.monotonicNow());
    } catch (const nlohmann::json::exception &ex) {
        logging::write(logging::Level::Warning, "observing", "report_malformed",
            {{"upstream", std::string_view(upstream.id)}, {"detail", std::string_view(ex.what())}});
        return;
    }
    m_blackboard.load.write(std::move(table));
}

void LoadObserver::sendRowsToPeers()
{
    const auto list = m_blackboard.publishedList.read();
    const auto table = m_blackboard.load.read();
    const MonoTime now = m_clock.monotonicNow();
    std::vector<observing::LoadRow> rows;
    for (const PublishedInstance &upstream : assigned()) {
        const auto it = table->upstreams.find(UpstreamId(upstream.id));
        if (it != table->upstreams.end() && rows.size() < maxRowsInDatagram) {
            rows.push_back(observing::quantise(it->first, it->second, now));
        }
    }
    if (rows.empty()) {
        return;
    }
    const std::string payload = peerlink::encode(rows);
    const auto view = m_blackboard.membership.read();
    std::size_t peers = 0;
    for (const PublishedInstance &instance : list->instances) {
        const bool isPeer = instance.role == InstanceRole::Entry && instance.dataCentre == m_dataCentre
            && instance.id != m_self.value();
        if (isPeer && isPeerAlive(*view, instance.id)) {
            // Lost rows are replaced by those of the next round.
            static_cast<void>(m_transport.send(
                {InstanceId(instance.id), instance.peerAddress}, peerlink::MessageType::LoadRows, payload));
            ++peers;
        }
    }
    m_nextSendAt = now + rowSendInterval(peers, payload.size());
}

// The interval grows with the number of peers, so that the bytes sent per second stay within the limit.
Milliseconds LoadObserver::rowSendInterval(std::size_t peers, std::size_t payloadBytes)
{
    const std::size_t bytes = peers * (payloadBytes + envelopeBytes);
    return std::max(roundInterval, Milliseconds(bytes * Milliseconds::period::den / maxRowBytesPerSecond));
}

void LoadObserver::receiveRows(const std::string &payload)
{
    const auto rows = peerlink::decode<std::vector<observing::LoadRow>>(payload);
    if (!rows) {
        return;
    }
    std::vector<UpstreamId> known;
    for (const PublishedInstance &instance : m_blackboard.publishedList.read()->instances) {
        if (instance.role != InstanceRole::Entry) {
            known.emplace_back(instance.id);
        }
    }
    const std::scoped_lock lock(m_tableMutex);
    LoadTable table = *m_blackboard.load.read();
    observing::mergeLoadRows(table, *rows, known, m_clock.monotonicNow());
    m_blackboard.load.write(std::move(table));
}

} // namespace magnolia::entry
