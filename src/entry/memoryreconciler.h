// Periodically lists the streams and reservations that engines hold and releases the unused ones.
#pragma once

#include "blackboard/blackboard.h"
#include "framework/global/iclock.h"
#include "kvmemory/reconciliation.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace magnolia::upstreams
{
class IUpstreamClient;
}

namespace magnolia::entry
{

class ActiveRequests;
class CancelQueue;

class MemoryReconciler
{
public:
    MemoryReconciler(InstanceId self, Incarnation incarnation, DataCentreId dataCentre, const Blackboard &blackboard,
        const IClock &clock, upstreams::IUpstreamClient &client, CancelQueue &cancelQueue,
        const ActiveRequests &activeRequests);
    ~MemoryReconciler();
    MemoryReconciler(const MemoryReconciler &) = delete;
    MemoryReconciler &operator=(const MemoryReconciler &) = delete;

    void start();

private:
    void run();
    void reconcileAll();
    void reconcile(const PublishedInstance &engine);

    // Requests hold memory for seconds to minutes, so checking each engine every two seconds is often enough.
    static constexpr Milliseconds reconcileInterval{2000};

    InstanceId m_self;
    Incarnation m_incarnation;
    DataCentreId m_dataCentre;
    const Blackboard &m_blackboard;
    const IClock &m_clock;
    upstreams::IUpstreamClient &m_client;
    CancelQueue &m_cancelQueue;
    const ActiveRequests &m_activeRequests;
    kvmemory::AllocationHistory m_allocationHistory;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace magnolia::entry
