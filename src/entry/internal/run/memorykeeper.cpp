// Asks engines what they hold, and has what nobody uses any more released.
#include "entry/memorykeeper.h"

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

constexpr Milliseconds askTimeout{500};
constexpr std::size_t maxReport = 4UL * 1024 * 1024;
constexpr int httpOk = 200;

void addItems(std::vector<kvmemory::EngineAllocation> &held, const JsonAnswer &answer, const UpstreamId &engine,
    kvmemory::AllocationKind kind)
{
    const bool isStream = kind == kvmemory::AllocationKind::Stream;
    const auto rows = answer.body.find(isStream ? "streams" : "reservations");
    if (rows == answer.body.end() || !rows->is_array()) {
        return;
    }
    for (const auto &row : *rows) {
        if (row.is_object()) {
            held.push_back({engine, kind, row.value(isStream ? "request_id" : "id", ""), row.value("owner", "")});
        }
    }
}

Milliseconds longestFinish(const Configuration &configuration)
{
    Milliseconds longest{0};
    for (const auto &[id, one] : configuration.classes) {
        longest = std::max(longest, one.finishTarget);
    }
    return longest;
}

} // namespace

MemoryKeeper::MemoryKeeper(InstanceId self, Incarnation incarnation, DataCentreId dataCentre,
    const Blackboard &blackboard, const IClock &clock, upstreams::IUpstreamClient &client, CancelQueue &cancels,
    const ActiveRequests &active)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_dataCentre(std::move(dataCentre))
    , m_blackboard(blackboard)
    , m_clock(clock)
    , m_client(client)
    , m_cancels(cancels)
    , m_active(active)
{
}

MemoryKeeper::~MemoryKeeper()
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

void MemoryKeeper::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void MemoryKeeper::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        checkAll();
        lock.lock();
        m_wake.wait_for(lock, checkInterval);
    }
}

void MemoryKeeper::checkAll()
{
    const auto list = m_blackboard.publishedList.read();
    const auto view = m_blackboard.membership.read();
    for (const PublishedInstance &upstream : assignedUpstreams(*list, *view, m_self, m_dataCentre)) {
        if (upstream.role == InstanceRole::Engine) {
            check(upstream);
        }
    }
}

void MemoryKeeper::check(const PublishedInstance &engine)
{
    const auto configuration = m_blackboard.configuration.read();
    // Without classes nobody knows how long a request may be under way.
    if (configuration->classes.empty()) {
        return;
    }
    const auto streams = callJson(m_client, engine.address, "GET", "/v1/streams", "", askTimeout, maxReport);
    const auto reservations = callJson(m_client, engine.address, "GET", "/v1/reservations", "", askTimeout, maxReport);
    if (!streams || !reservations || streams->status != httpOk || reservations->status != httpOk) {
        return;
    }
    const UpstreamId id(engine.id);
    std::vector<kvmemory::EngineAllocation> held;
    addItems(held, *streams, id, kvmemory::AllocationKind::Stream);
    addItems(held, *reservations, id, kvmemory::AllocationKind::Reservation);
    const std::set<std::string> active = m_active.ids();
    const auto view = m_blackboard.membership.read();
    const auto list = m_blackboard.publishedList.read();
    const kvmemory::ReconciliationContext facts{
        m_self, m_incarnation, active, *view, *list, longestFinish(*configuration)};
    for (const kvmemory::EngineAllocation &item :
        kvmemory::reconcile(m_since, id, held, facts, m_clock.monotonicNow())) {
        const bool isStream = item.kind == kvmemory::AllocationKind::Stream;
        logging::write(logging::Level::Warning, "kvmemory", "orphan_released",
            {{"request", std::string_view(item.id)}, {"upstream", std::string_view(engine.id)},
                {"kind", std::string_view(isStream ? "stream" : "reservation")},
                {"owner", std::string_view(item.owner)}});
        if (isStream) {
            m_cancels.cancel(engine.address, RequestId(item.id));
        } else {
            m_cancels.releaseReservation(engine.address, item.id);
        }
    }
}

} // namespace magnolia::entry
