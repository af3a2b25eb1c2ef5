// The loop of the worker's thread.
#include "configuration/internal/worker.h"

namespace magnolia::configuration
{

Worker::Worker()
    : m_thread([this] {
        run();
    })
{
}

Worker::~Worker()
{
    stop();
}

void Worker::post(std::function<void()> job)
{
    const std::scoped_lock lock(m_mutex);
    m_jobs.push_back(std::move(job));
    m_changed.notify_all();
}

void Worker::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
        m_changed.notify_all();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Worker::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] {
            return m_isStopping || !m_jobs.empty();
        });
        if (m_isStopping) {
            return;
        }
        const auto job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace magnolia::configuration
