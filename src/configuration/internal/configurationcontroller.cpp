// The controller's thread takes events from a queue, calls `tick` periodically and executes the resulting effects.
#include "configuration/configurationcontroller.h"

#include "configuration/internal/watchers.h"
#include "configuration/internal/worker.h"
#include "configuration/livepeers.h"
#include "framework/logging/log.h"

namespace magnolia::configuration
{

namespace
{

using logging::Level;

constexpr Milliseconds tickInterval{100};
constexpr std::size_t maxQueuedEvents = 4096;
constexpr const char *module = "configuration";

Self withReplicas(Self self, std::size_t replicas)
{
    self.replicas = replicas;
    return self;
}

std::string_view sourceName(const InstanceId &source)
{
    return source.isEmpty() ? std::string_view("service") : std::string_view(source.value());
}

std::uint64_t codeNumber(ResultCode code)
{
    return static_cast<std::uint64_t>(code);
}

} // namespace

ConfigurationController::ConfigurationController(Blackboard &blackboard, ports::IConfigurationService &service,
    IConfigurationPeers &peers, const IClock &clock, Self self, ConfigurationParameters parameters, std::uint64_t seed)
    : m_blackboard(blackboard)
    , m_service(service)
    , m_peers(peers)
    , m_clock(clock)
    , m_state(withReplicas(std::move(self), service.replicaCount()), parameters, seed)
{
}

ConfigurationController::~ConfigurationController()
{
    stop();
}

void ConfigurationController::start()
{
    m_serviceWorker = std::make_unique<Worker>();
    m_fetchWorker = std::make_unique<Worker>();
    {
        const std::scoped_lock lock(m_stateMutex);
        configuration::start(m_state, m_clock.monotonicNow());
    }
    m_thread = std::thread([this] {
        run();
    });
}

void ConfigurationController::stop()
{
    {
        const std::scoped_lock lock(m_queueMutex);
        m_isStopping = true;
        m_queueChanged.notify_all();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
    if (m_serviceWorker) {
        m_serviceWorker->stop();
        m_fetchWorker->stop();
    }
}

void ConfigurationController::receive(const InstanceId &from, const ConfigurationMessage &message)
{
    post(MessageReceived{from, message});
}

SnapshotAnswer ConfigurationController::answer(const SnapshotRequest &request) const
{
    const std::scoped_lock lock(m_stateMutex);
    return answerRequest(m_state, request);
}

bool ConfigurationController::isReady() const
{
    const std::scoped_lock lock(m_stateMutex);
    return configuration::isReady(m_state);
}

ConfigurationStatus ConfigurationController::status() const
{
    ConfigurationStatus status;
    {
        const std::scoped_lock lock(m_stateMutex);
        status.revision = currentRevision(m_state);
        status.rejected = m_state.rejected.empty() ? Revision() : m_state.rejected.rbegin()->first;
        status.isReady = configuration::isReady(m_state);
        status.isWatcher = m_state.isElected;
        status.hasActiveWatcher = hasActiveWatcher(m_state, m_clock.monotonicNow());
    }
    status.serviceCalls = m_serviceCalls;
    status.serviceFailures = m_serviceFailures;
    status.messagesSent = m_messagesSent;
    status.fetches = m_fetches;
    status.rejections = m_rejections;
    return status;
}

void ConfigurationController::run()
{
    MonoTime nextTick = m_clock.monotonicNow();
    while (true) {
        std::deque<ConfigurationEvent> events;
        {
            std::unique_lock lock(m_queueMutex);
            const auto remaining = std::max(MonoTime::duration::zero(), nextTick - m_clock.monotonicNow());
            m_queueChanged.wait_for(lock, remaining, [this] {
                return m_isStopping || !m_queuedEvents.empty();
            });
            if (m_isStopping) {
                return;
            }
            events.swap(m_queuedEvents);
        }
        for (const ConfigurationEvent &event : events) {
            handleEvent(event);
        }
        if (m_clock.monotonicNow() >= nextTick) {
            tickOnce();
            nextTick = m_clock.monotonicNow() + tickInterval;
        }
    }
}

void ConfigurationController::post(ConfigurationEvent event)
{
    const std::scoped_lock lock(m_queueMutex);
    if (m_queuedEvents.size() < maxQueuedEvents) {
        m_queuedEvents.push_back(std::move(event));
        m_queueChanged.notify_all();
    }
}

void ConfigurationController::handleEvent(const ConfigurationEvent &event)
{
    ConfigurationEffects effects;
    {
        const std::scoped_lock lock(m_stateMutex);
        effects = step(m_state, event, m_clock.monotonicNow());
    }
    execute(effects);
}

void ConfigurationController::tickOnce()
{
    updatePeers();
    ConfigurationEffects effects;
    {
        const std::scoped_lock lock(m_stateMutex);
        effects = tick(m_state, m_clock.monotonicNow());
    }
    execute(effects);
    logChanges();
}

void ConfigurationController::updatePeers()
{
    const auto list = m_blackboard.publishedList.read();
    const auto membership = m_blackboard.membership.read();
    if (list->revision == 0 && membership->peers.empty()) {
        return;
    }
    std::vector<PeerInfo> peers = livePeers(*list, *membership, m_state.self.id);
    if (m_arePeersKnown && peers == m_lastPeers) {
        return;
    }
    m_arePeersKnown = true;
    m_lastPeers = peers;
    handleEvent(PeersChanged{std::move(peers)});
}

void ConfigurationController::execute(const ConfigurationEffects &effects)
{
    for (const ConfigurationEffect &effect : effects) {
        std::visit(
            [this](const auto &it) {
                execute(it);
            },
            effect);
    }
}

void ConfigurationController::execute(const CallService &effect)
{
    ++m_serviceCalls;
    m_serviceWorker->post([this, effect] {
        callService(effect);
    });
}

void ConfigurationController::callService(const CallService &effect)
{
    auto answer = m_service.watch(effect.after, effect.wait, effect.replica);
    if (answer) {
        recordServiceResult(nullptr);
        post(ServiceAnswered{effect.callId, std::move(*answer)});
    } else {
        recordServiceResult(&answer.error());
        post(ServiceFailed{effect.callId});
    }
}

void ConfigurationController::recordServiceResult(const Error *error)
{
    const bool isServiceLost = error != nullptr;
    m_serviceFailures += isServiceLost ? 1 : 0;
    if (isServiceLost == m_isServiceLost) {
        return;
    }
    m_isServiceLost = isServiceLost;
    if (isServiceLost) {
        logging::write(
            Level::Warning, module, "service-lost", {{"code", codeNumber(error->code)}, {"detail", error->detail}});
    } else {
        logging::write(Level::Info, module, "service-back", {});
    }
}

void ConfigurationController::execute(const SendToPeer &effect)
{
    ++m_messagesSent;
    m_peers.send(effect.to, effect.message);
}

void ConfigurationController::execute(const FetchFromPeer &effect)
{
    ++m_fetches;
    const Milliseconds timeout = m_state.parameters.fetchTimeout;
    m_fetchWorker->post([this, effect, timeout] {
        auto answer = m_peers.fetch(effect.from, effect.request, timeout);
        if (answer) {
            post(SnapshotReceived{effect.from, std::move(*answer)});
            return;
        }
        logging::write(Level::Debug, module, "fetch-failed",
            {{"peer", effect.from.value()}, {"code", codeNumber(answer.error().code)},
                {"detail", answer.error().detail}});
        post(FetchFailed{effect.from});
    });
}

void ConfigurationController::execute(const ApplyConfiguration &effect)
{
    logging::write(Level::Info, module, "in-force",
        {{"revision", effect.configuration.revision.count()}, {"source", sourceName(effect.source)},
            {"classes", std::uint64_t{effect.configuration.classes.size()}},
            {"organisations", std::uint64_t{effect.configuration.organisations.size()}},
            {"models", std::uint64_t{effect.configuration.models.size()}}});
    m_blackboard.configuration.write(effect.configuration);
}

void ConfigurationController::execute(const ReportRejected &effect)
{
    ++m_rejections;
    logging::write(Level::Error, module, "refused",
        {{"code", codeNumber(effect.failure.code)}, {"revision", effect.revision.count()},
            {"source", sourceName(effect.source)}, {"in_force", m_blackboard.configuration.read()->revision.count()},
            {"problems", toError(effect.failure).detail}});
}

void ConfigurationController::execute(const ReportStale &effect)
{
    logging::write(Level::Warning, module, "service-stale",
        {{"code", codeNumber(ResultCode::ConfigurationStale)}, {"offered", effect.offered.count()},
            {"in_force", effect.current.count()}});
}

void ConfigurationController::execute(const ReportDiverged &effect)
{
    logging::write(Level::Error, module, "diverged",
        {{"code", codeNumber(ResultCode::ConfigurationInvalid)}, {"revision", effect.revision.count()},
            {"peer", effect.peer.value()}});
}

void ConfigurationController::logChanges()
{
    const bool isNowReady = configuration::isReady(m_state);
    if (isNowReady != m_wasReady) {
        m_wasReady = isNowReady;
        logging::write(
            Level::Info, module, isNowReady ? "ready" : "not-ready", {{"revision", currentRevision(m_state).count()}});
    }
    if (m_state.isElected != m_wasWatcher) {
        m_wasWatcher = m_state.isElected;
        logging::write(Level::Info, module, "watcher", {{"is_watcher", m_wasWatcher}});
    }
}

} // namespace magnolia::configuration
