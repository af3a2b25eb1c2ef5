// Asks engines what they hold, and has what nobody uses any more released.
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

class MemoryKeeper
{
public:
    MemoryKeeper(InstanceId self, Incarnation incarnation, DataCentreId dataCentre, const Blackboard &blackboard,
        const IClock &clock, upstreams::IUpstreamClient &client, CancelQueue &cancels, const ActiveRequests &active);
    ~MemoryKeeper();
    MemoryKeeper(const MemoryKeeper &) = delete;
    MemoryKeeper &operator=(const MemoryKeeper &) = delete;

    void start();

private:
    void run();
    void checkAll();
    void check(const PublishedInstance &engine);

    // Memory is held for seconds to minutes; a report of each engine every two seconds finds it soon enough.
    static constexpr Milliseconds checkInterval{2000};

    InstanceId m_self;
    Incarnation m_incarnation;
    DataCentreId m_dataCentre;
    const Blackboard &m_blackboard;
    const IClock &m_clock;
    upstreams::IUpstreamClient &m_client;
    CancelQueue &m_cancels;
    const ActiveRequests &m_active;
    kvmemory::AllocationHistory m_since;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace magnolia::entry
