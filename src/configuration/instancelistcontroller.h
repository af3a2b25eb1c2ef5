// Reads the platform's list over and over and keeps the freshest on the blackboard.
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
    /** As `stop`. */
    ~InstanceListController();
    InstanceListController(const InstanceListController &) = delete;
    InstanceListController &operator=(const InstanceListController &) = delete;

    void start();
    /** Ends the thread; waits for a reading that is under way, at most its time-out. */
    void stop();

    [[nodiscard]] std::uint64_t readCount() const;

private:
    void run();
    bool readOnce();
    void take(PublishedList fresh);
    void recordResult(const Error *error);
    [[nodiscard]] Milliseconds nextDelay(bool hasRead);

    Blackboard &m_blackboard;
    ports::IInstanceList &m_list;
    const IClock &m_clock;
    const InstanceListParameters m_parameters;
    Random m_random;
    std::size_t m_replica = 0;
    std::uint32_t m_consecutiveFailures = 0;
    /** Lower revision that was logged last, so that each is logged once. */
    std::uint64_t m_loggedStale = 0;
    std::atomic<std::uint64_t> m_readCount{0};

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace magnolia::configuration
