// Reads rotate over the replicas, so that a stale replica does not hide a newer list of another one.
#include "configuration/instancelistcontroller.h"

#include "configuration/listfreshness.h"
#include "framework/logging/log.h"

#include <algorithm>

namespace magnolia::configuration
{

namespace
{

using logging::Level;

constexpr const char *module = "configuration";
constexpr double minIntervalShare = 0.75;
constexpr double intervalShareSpread = 0.5;
constexpr std::uint32_t maxBackoffDoublings = 8;

} // namespace

bool isFresher(const PublishedList &fresh, const PublishedList &current)
{
    if (fresh.revision != current.revision) {
        return fresh.revision > current.revision;
    }
    return fresh.generatedAt > current.generatedAt;
}

InstanceListController::InstanceListController(Blackboard &blackboard, ports::IInstanceList &list, const IClock &clock,
    InstanceListParameters parameters, std::uint64_t seed)
    : m_blackboard(blackboard)
    , m_list(list)
    , m_clock(clock)
    , m_parameters(parameters)
    , m_random(seed)
{
}

InstanceListController::~InstanceListController()
{
    stop();
}

void InstanceListController::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void InstanceListController::stop()
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

std::uint64_t InstanceListController::readCount() const
{
    return m_readCount;
}

void InstanceListController::run()
{
    while (true) {
        const Milliseconds delay = nextDelay(readOnce());
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, delay, [this] {
            return m_isStopping;
        });
        if (m_isStopping) {
            return;
        }
    }
}

bool InstanceListController::readOnce()
{
    ++m_readCount;
    // Taken before the call, so that the age of the list is never underestimated.
    const MonoTime readAt = m_clock.monotonicNow();
    auto fresh = m_list.read(m_replica++ % m_list.replicaCount());
    recordResult(fresh ? nullptr : &fresh.error());
    if (!fresh) {
        return false;
    }
    fresh->readAt = readAt;
    applyList(std::move(*fresh));
    return true;
}

void InstanceListController::applyList(PublishedList fresh)
{
    const auto current = m_blackboard.publishedList.read();
    if (isFresher(fresh, *current)) {
        m_blackboard.publishedList.write(std::move(fresh));
        return;
    }
    if (fresh.revision < current->revision && fresh.revision != m_loggedStaleRevision) {
        m_loggedStaleRevision = fresh.revision;
        logging::write(
            Level::Warning, module, "list-stale", {{"offered", fresh.revision}, {"in_use", current->revision}});
    }
}

void InstanceListController::recordResult(const Error *error)
{
    const bool wasFailing = m_consecutiveFailures > 0;
    m_consecutiveFailures = error == nullptr ? 0 : m_consecutiveFailures + 1;
    if (error != nullptr && !wasFailing) {
        logging::write(Level::Warning, module, "list-lost",
            {{"code", static_cast<std::uint64_t>(error->code)}, {"detail", error->detail}});
    } else if (error == nullptr && wasFailing) {
        logging::write(Level::Info, module, "list-back", {});
    }
}

Milliseconds InstanceListController::nextDelay(bool hasSucceeded)
{
    const std::uint32_t doublings = hasSucceeded ? 0 : std::min(m_consecutiveFailures - 1, maxBackoffDoublings);
    const Milliseconds backoff = m_parameters.interval * (std::int64_t{1} << doublings);
    const Milliseconds delay = hasSucceeded ? m_parameters.interval : std::min(backoff, m_parameters.maxBackoff);
    const double share = minIntervalShare + intervalShareSpread * m_random.unit();
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(delay.count()) * share));
}

} // namespace magnolia::configuration
