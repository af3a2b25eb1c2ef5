// Event loop on top of epoll.
#include "framework/eventloop/eventloop.h"

#include "framework/eventloop/ireadinesshandler.h"
#include "framework/logging/log.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <exception>
#include <stdexcept>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace magnolia::eventloop
{

namespace
{

constexpr std::size_t maxEventsPerWait = 64;
/** Upper bound of each wait, so that a lost wake-up cannot delay work indefinitely. */
constexpr int maxWaitMs = 1000;
/** A handler that fails before it has read its input would be called again at once, without end. */
constexpr int maxConsecutiveFailures = 100;

std::uint32_t toEpollEvents(const Interest &interest)
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
    // The destructors of handlers and tasks may call `remove` or `cancel`.
    const auto watchedSockets = std::exchange(m_watchedSockets, {});
    const auto timerTasks = std::exchange(m_timerTasks, {});
    const auto deferredTasks = std::exchange(m_deferredTasks, {});
    ::close(m_epoll);
}

MonoTime EventLoop::readClock()
{
    timespec ts{};
    ::clock_gettime(CLOCK_BOOTTIME, &ts);
    return MonoTime(std::chrono::duration_cast<MonoTime::duration>(
        std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec)));
}

void EventLoop::setSourceAddress(std::string ip)
{
    m_sourceAddress = std::move(ip);
}

const std::string &EventLoop::sourceAddress() const
{
    return m_sourceAddress;
}

MonoTime EventLoop::now() const
{
    return m_now;
}

void EventLoop::add(int fd, std::shared_ptr<IReadinessHandler> handler, Interest interest)
{
    const std::uint64_t generation = m_nextGeneration++;
    m_watchedSockets[fd] = WatchedSocket{std::move(handler), interest, generation};
    epoll_event event{};
    event.events = toEpollEvents(interest);
    event.data.u64 = (generation << 20U) | static_cast<std::uint32_t>(fd);
    if (::epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event) != 0) {
        logging::write(logging::Level::Error, "eventloop", "watch_failed", {{"errno", std::int64_t{errno}}});
    }
}

void EventLoop::update(int fd, Interest interest)
{
    const auto it = m_watchedSockets.find(fd);
    if (it == m_watchedSockets.end() || it->second.interest == interest) {
        return;
    }
    it->second.interest = interest;
    epoll_event event{};
    event.events = toEpollEvents(interest);
    event.data.u64 = (it->second.generation << 20U) | static_cast<std::uint32_t>(fd);
    ::epoll_ctl(m_epoll, EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::remove(int fd)
{
    if (m_watchedSockets.erase(fd) > 0) {
        ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
    }
}

TimerId EventLoop::after(Milliseconds delay, std::function<void()> task)
{
    const TimerId id = m_nextTimer++;
    m_timerTasks.emplace(id, std::move(task));
    m_timers.push_back(Timer{m_now + std::max(delay, Milliseconds{0}), id});
    std::push_heap(m_timers.begin(), m_timers.end(), [](const Timer &a, const Timer &b) {
        return a.dueAt > b.dueAt;
    });
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    m_timerTasks.erase(timer);
}

void EventLoop::defer(std::function<void()> task)
{
    m_deferredTasks.push_back(std::move(task));
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
    const auto isLater = [](const Timer &a, const Timer &b) {
        return a.dueAt > b.dueAt;
    };
    while (!m_timers.empty() && m_timers.front().dueAt <= m_now) {
        const TimerId id = m_timers.front().id;
        std::pop_heap(m_timers.begin(), m_timers.end(), isLater);
        m_timers.pop_back();
        const auto it = m_timerTasks.find(id);
        if (it != m_timerTasks.end()) {
            const auto task = std::move(it->second);
            m_timerTasks.erase(it);
            call(task);
        }
    }
}

void EventLoop::runDeferred()
{
    while (!m_deferredTasks.empty()) {
        std::vector<std::function<void()>> tasks;
        tasks.swap(m_deferredTasks);
        for (const auto &task : tasks) {
            call(task);
        }
    }
}

int EventLoop::waitTimeoutMs() const
{
    if (m_timers.empty()) {
        return maxWaitMs;
    }
    const auto remainingMs = std::chrono::ceil<Milliseconds>(m_timers.front().dueAt - readClock()).count();
    return static_cast<int>(std::clamp<std::int64_t>(remainingMs, 0, maxWaitMs));
}

template <typename Callback>
bool EventLoop::call(const Callback &callback)
{
    try {
        callback();
        return true;
    } catch (const std::exception &ex) {
        ++m_failedCallbackCount;
        logging::write(
            logging::Level::Error, "eventloop", "callback_failed", {{"detail", std::string_view(ex.what())}});
        return false;
    }
}

void EventLoop::callHandler(int fd, std::uint64_t generation, std::uint32_t events)
{
    const auto handler = m_watchedSockets.at(fd).handler;
    const bool isBroken = (events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0;
    const bool isDone = call([&] {
        handler->onReady((events & EPOLLIN) != 0, (events & EPOLLOUT) != 0, isBroken);
    });
    // The handler may have removed its socket.
    const auto it = m_watchedSockets.find(fd);
    if (it == m_watchedSockets.end() || it->second.generation != generation) {
        return;
    }
    it->second.consecutiveFailures = isDone ? 0 : it->second.consecutiveFailures + 1;
    if (it->second.consecutiveFailures >= maxConsecutiveFailures) {
        logging::write(logging::Level::Error, "eventloop", "socket_abandoned", {{"fd", std::int64_t{fd}}});
        remove(fd);
    }
}

std::uint64_t EventLoop::failedCallbackCount() const
{
    return m_failedCallbackCount;
}

void EventLoop::waitOnce()
{
    std::array<epoll_event, maxEventsPerWait> events{};
    const int eventCount = ::epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), waitTimeoutMs());
    m_now = readClock();
    for (int i = 0; i < eventCount; ++i) {
        const epoll_event &event = events.at(static_cast<std::size_t>(i));
        const int fd = static_cast<int>(event.data.u64 & 0xFFFFFU);
        const auto it = m_watchedSockets.find(fd);
        // An earlier handler of this round may have closed the socket, and its descriptor may have been reused.
        if (it == m_watchedSockets.end() || it->second.generation != event.data.u64 >> 20U) {
            continue;
        }
        callHandler(fd, it->second.generation, event.events);
        runDeferred();
    }
}

} // namespace magnolia::eventloop
