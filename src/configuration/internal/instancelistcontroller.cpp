// Readings go round the replicas, so that a stale one does not hide what another knows.
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
constexpr double leastShare = 0.75;
constexpr double shareSpread = 0.5;
constexpr std::uint32_t mostDoublings = 8;

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
    // Before the call: what the platform answers is at least this old when it arrives.
    const MonoTime readAt = m_clock.monotonicNow();
    auto fresh = m_list.read(m_replica++ % m_list.replicaCount());
    recordResult(fresh ? nullptr : &fresh.error());
    if (!fresh) {
        return false;
    }
    fresh->readAt = readAt;
    take(std::move(*fresh));
    return true;
}

void InstanceListController::take(PublishedList fresh)
{
    const auto current = m_blackboard.publishedList.read();
    if (isFresher(fresh, *current)) {
        m_blackboard.publishedList.write(std::move(fresh));
        return;
    }
    if (fresh.revision < current->revision && fresh.revision != m_loggedStale) {
        m_loggedStale = fresh.revision;
        logging::write(
            Level::Warning, module, "list-stale", {{"offered", fresh.revision}, {"in_use", current->revision}});
    }
}

void InstanceListController::recordResult(const Error *error)
{
    const bool wasLost = m_consecutiveFailures > 0;
    m_consecutiveFailures = error == nullptr ? 0 : m_consecutiveFailures + 1;
    if (error != nullptr && !wasLost) {
        logging::write(Level::Warning, module, "list-lost",
            {{"code", static_cast<std::uint64_t>(error->code)}, {"detail", error->detail}});
    } else if (error == nullptr && wasLost) {
        logging::write(Level::Info, module, "list-back", {});
    }
}

Milliseconds InstanceListController::nextDelay(bool hasRead)
{
    const std::uint32_t doublings = hasRead ? 0 : std::min(m_consecutiveFailures - 1, mostDoublings);
    const Milliseconds grown = m_parameters.interval * (std::int64_t{1} << doublings);
    const Milliseconds delay = hasRead ? m_parameters.interval : std::min(grown, m_parameters.maxBackoff);
    const double share = leastShare + shareSpread * m_random.unit();
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(delay.count()) * share));
}

} // namespace magnolia::configuration
