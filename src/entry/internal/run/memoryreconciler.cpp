// Periodically lists the streams and reservations that engines hold and releases the unused ones.
#include "entry/memoryreconciler.h"

#include "entry/activerequests.h"
#include "entry/cancelqueue.h"
#include "entry/internal/run/jsoncall.h"
#include "entry/internal/run/upstreamassignment.h"
#include "framework/logging/log.h"

#include <algorithm>

namespace magnolia::entry
{

namespace
{

constexpr Milliseconds queryTimeout{500};
constexpr std::size_t maxReportBytes = 4UL * 1024 * 1024;
constexpr int httpOk = 200;

void addAllocations(std::vector<kvmemory::EngineAllocation> &allocations, const JsonAnswer &answer,
    const UpstreamId &engine, kvmemory::AllocationKind kind)
{
    const bool isStream = kind == kvmemory::AllocationKind::Stream;
    const auto rows = answer.body.find(isStream ? "streams" : "reservations");
    if (rows == answer.body.end() || !rows->is_array()) {
        return;
    }
    for (const auto &row : *rows) {
        if (row.is_object()) {
            allocations.push_back(
                {engine, kind, row.value(isStream ? "request_id" : "id", ""), row.value("owner", "")});
        }
    }
}

Milliseconds maxFinishTime(const Configuration &configuration)
{
    Milliseconds maxFinish{0};
    for (const auto &[id, requestClass] : configuration.classes) {
        maxFinish = std::max(maxFinish, requestClass.finishTarget);
    }
    return maxFinish;
}

} // namespace

MemoryReconciler::MemoryReconciler(InstanceId self, Incarnation incarnation, DataCentreId dataCentre,
    const Blackboard &blackboard, const IClock &clock, upstreams::IUpstreamClient &client, CancelQueue &cancelQueue,
    const ActiveRequests &activeRequests)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_dataCentre(std::move(dataCentre))
    , m_blackboard(blackboard)
    , m_clock(clock)
    , m_client(client)
    , m_cancelQueue(cancelQueue)
    , m_activeRequests(activeRequests)
{
}

MemoryReconciler::~MemoryReconciler()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void MemoryReconciler::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void MemoryReconciler::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        reconcileAll();
        lock.lock();
        m_wake.wait_for(lock, reconcileInterval);
    }
}

void MemoryReconciler::reconcileAll()
{
    const auto list = m_blackboard.publishedList.read();
    const auto view = m_blackboard.membership.read();
    for (const PublishedInstance &upstream : assignedUpstreams(*list, *view, m_self, m_dataCentre)) {
        if (upstream.role == InstanceRole::Engine) {
            reconcile(upstream);
        }
    }
}

void MemoryReconciler::reconcile(const PublishedInstance &engine)
{
    const auto configuration = m_blackboard.configuration.read();
    // Without classes the longest finish time of a request is unknown.
    if (configuration->classes.empty()) {
        return;
    }
    const auto streams = callJson(m_client, engine.address, "GET", "/v1/streams", "", queryTimeout, maxReportBytes);
    const auto reservations
        = callJson(m_client, engine.address, "GET", "/v1/reservations", "", queryTimeout, maxReportBytes);
    if (!streams || !reservations || streams->status != httpOk || reservations->status != httpOk) {
        return;
    }
    const UpstreamId id(engine.id);
    std::vector<kvmemory::EngineAllocation> allocations;
    addAllocations(allocations, *streams, id, kvmemory::AllocationKind::Stream);
    addAllocations(allocations, *reservations, id, kvmemory::AllocationKind::Reservation);
    const std::set<std::string> activeIds = m_activeRequests.ids();
    const auto view = m_blackboard.membership.read();
    const auto list = m_blackboard.publishedList.read();
    const kvmemory::ReconciliationContext context{
        m_self, m_incarnation, activeIds, *view, *list, maxFinishTime(*configuration)};
    for (const kvmemory::EngineAllocation &item :
        kvmemory::reconcile(m_allocationHistory, id, allocations, context, m_clock.monotonicNow())) {
        const bool isStream = item.kind == kvmemory::AllocationKind::Stream;
        logging::write(logging::Level::Warning, "kvmemory", "orphan_released",
            {{"request", std::string_view(item.id)}, {"upstream", std::string_view(engine.id)},
                {"kind", std::string_view(isStream ? "stream" : "reservation")},
                {"owner", std::string_view(item.owner)}});
        if (isStream) {
            m_cancelQueue.cancel(engine.address, RequestId(item.id));
        } else {
            m_cancelQueue.releaseReservation(engine.address, item.id);
        }
    }
}

} // namespace magnolia::entry
