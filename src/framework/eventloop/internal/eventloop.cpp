// Waiting for sockets and timers by epoll.
#include "framework/eventloop/eventloop.h"

#include "framework/eventloop/ireadinesshandler.h"
#include "framework/logging/log.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <stdexcept>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace magnolia::eventloop
{

namespace
{

constexpr std::size_t eventsPerWait = 64;
/** Longest wait without a timer, so that a forgotten wake-up delays nothing for good. */
constexpr int longestWaitMs = 1000;

std::uint32_t toEpoll(const Interest &interest)
{
    std::uint32_t mask = EPOLLRDHUP;
    mask |= interest.isRead ? static_cast<std::uint32_t>(EPOLLIN) : 0U;
    mask |= interest.isWrite ? static_cast<std::uint32_t>(EPOLLOUT) : 0U;
    return mask;
}

} // namespace

EventLoop::EventLoop()
    : m_epoll(::epoll_create1(EPOLL_CLOEXEC))
    , m_now(readClock())
{
    if (m_epoll < 0) {
        throw std::runtime_error("epoll_create1 failed");
    }
}

EventLoop::~EventLoop()
{
    // What is let go of here may ask the loop to forget it.
    const auto watched = std::exchange(m_watched, {});
    const auto tasks = std::exchange(m_tasks, {});
    const auto deferred = std::exchange(m_deferred, {});
    ::close(m_epoll);
}

MonoTime EventLoop::readClock()
{
    timespec ts{};
    ::clock_gettime(CLOCK_BOOTTIME, &ts);
    return MonoTime(std::chrono::duration_cast<MonoTime::duration>(
        std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec)));
}

MonoTime EventLoop::now() const
{
    return m_now;
}

void EventLoop::add(int fd, std::shared_ptr<IReadinessHandler> handler, Interest interest)
{
    const std::uint64_t generation = m_nextGeneration++;
    m_watched[fd] = Watched{std::move(handler), interest, generation};
    epoll_event event{};
    event.events = toEpoll(interest);
    event.data.u64 = (generation << 20U) | static_cast<std::uint32_t>(fd);
    if (::epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event) != 0) {
        logging::write(logging::Level::Error, "eventloop", "watch_failed", {{"errno", std::int64_t{errno}}});
    }
}

void EventLoop::update(int fd, Interest interest)
{
    const auto it = m_watched.find(fd);
    if (it == m_watched.end() || it->second.interest == interest) {
        return;
    }
    it->second.interest = interest;
    epoll_event event{};
    event.events = toEpoll(interest);
    event.data.u64 = (it->second.generation << 20U) | static_cast<std::uint32_t>(fd);
    ::epoll_ctl(m_epoll, EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::remove(int fd)
{
    if (m_watched.erase(fd) > 0) {
        ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
    }
}

TimerId EventLoop::after(Milliseconds delay, std::function<void()> task)
{
    const TimerId id = m_nextTimer++;
    m_tasks.emplace(id, std::move(task));
    m_due.push_back(Due{m_now + std::max(delay, Milliseconds{0}), id});
    std::push_heap(m_due.begin(), m_due.end(), [](const Due &a, const Due &b) {
        return a.at > b.at;
    });
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    m_tasks.erase(timer);
}

void EventLoop::defer(std::function<void()> task)
{
    m_deferred.push_back(std::move(task));
}

void EventLoop::run()
{
    m_isStopping = false;
    while (!m_isStopping) {
        m_now = readClock();
        runTimers();
        runDeferred();
        if (!m_isStopping) {
            waitOnce();
        }
    }
}

void EventLoop::stop()
{
    m_isStopping = true;
}

void EventLoop::runTimers()
{
    const auto isLater = [](const Due &a, const Due &b) {
        return a.at > b.at;
    };
    while (!m_due.empty() && m_due.front().at <= m_now) {
        const TimerId id = m_due.front().id;
        std::pop_heap(m_due.begin(), m_due.end(), isLater);
        m_due.pop_back();
        const auto it = m_tasks.find(id);
        if (it != m_tasks.end()) {
            const auto task = std::move(it->second);
            m_tasks.erase(it);
            task();
        }
    }
}

void EventLoop::runDeferred()
{
    while (!m_deferred.empty()) {
        std::vector<std::function<void()>> tasks;
        tasks.swap(m_deferred);
        for (const auto &task : tasks) {
            task();
        }
    }
}

int EventLoop::waitTime() const
{
    if (m_due.empty()) {
        return longestWaitMs;
    }
    const auto left = std::chrono::ceil<Milliseconds>(m_due.front().at - readClock()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, longestWaitMs));
}

void EventLoop::waitOnce()
{
    std::array<epoll_event, eventsPerWait> events{};
    const int n = ::epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), waitTime());
    m_now = readClock();
    for (int i = 0; i < n; ++i) {
        const epoll_event &event = events.at(static_cast<std::size_t>(i));
        const int fd = static_cast<int>(event.data.u64 & 0xFFFFFU);
        const auto it = m_watched.find(fd);
        // A handler called before in this round may have closed the socket and its number may be in use again.
        if (it == m_watched.end() || it->second.generation != event.data.u64 >> 20U) {
            continue;
        }
        const auto handler = it->second.handler;
        const bool isBroken = (event.events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0;
        handler->onReady((event.events & EPOLLIN) != 0, (event.events & EPOLLOUT) != 0, isBroken);
        runDeferred();
    }
}

} // namespace magnolia::eventloop
