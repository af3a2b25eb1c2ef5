// A thread that runs blocking jobs in sequence, so that the thread of the core never blocks.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace magnolia::configuration
{

class Worker
{
public:
    Worker();
    /** Calls `stop`. */
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /** Queues `job`, which must not throw. Jobs posted after `stop` do not run. */
    void post(std::function<void()> job);
    /** Waits for the running job; queued jobs are not run. */
    void stop();

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_jobs;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace magnolia::configuration
