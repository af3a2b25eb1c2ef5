// Reads the platform's instance list periodically and keeps the freshest one on the blackboard.
#pragma once

#include "blackboard/blackboard.h"
#include "configuration/types/instancelistparameters.h"
#include "framework/global/iclock.h"
#include "framework/global/random.h"
#include "ports/iinstancelist.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>

namespace magnolia::configuration
{

class InstanceListController
{
public:
    /** All references must outlive the controller. */
    InstanceListController(Blackboard &blackboard, ports::IInstanceList &list, const IClock &clock,
        InstanceListParameters parameters, std::uint64_t seed);
    /** Calls `stop`. */
    ~InstanceListController();
    InstanceListController(const InstanceListController &) = delete;
    InstanceListController &operator=(const InstanceListController &) = delete;

    void start();
    /** Stops the thread. Waits for a read in progress, at most until it times out. */
    void stop();

    /** Number of reads so far, including failed ones. */
    [[nodiscard]] std::uint64_t readCount() const;

private:
    void run();
    bool readOnce();
    void applyList(PublishedList fresh);
    void recordResult(const Error *error);
    [[nodiscard]] Milliseconds nextDelay(bool hasSucceeded);

    Blackboard &m_blackboard;
    ports::IInstanceList &m_list;
    const IClock &m_clock;
    const InstanceListParameters m_parameters;
    Random m_random;
    std::size_t m_replica = 0;
    std::uint32_t m_consecutiveFailures = 0;
    /** Last stale revision that was logged, so that it is not logged again at each read. */
    std::uint64_t m_loggedStaleRevision = 0;
    std::atomic<std::uint64_t> m_readCount{0};

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace magnolia::configuration
