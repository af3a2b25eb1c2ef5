// An entry instance: creates the modules, connects them and runs them until it is told to stop.
#include "app/internal/entryprocess.h"

#include "upstreams/upstreamclient.h"

#include "app/internal/instancestatus.h"
#include "app/internal/signals.h"
#include "blackboard/blackboard.h"
#include "configuration/configurationcontroller.h"
#include "configuration/instancelistcontroller.h"
#include "configuration/peerlinkpeers.h"
#include "entry/activerequests.h"
#include "entry/callerhandler.h"
#include "entry/cancelqueue.h"
#include "entry/dispatchpolicy.h"
#include "entry/idempotencycontroller.h"
#include "entry/loadobserver.h"
#include "entry/memoryreconciler.h"
#include "entry/operatorhandler.h"
#include "entry/requestrunner.h"
#include "entry/stopdeadline.h"
#include "entry/upstreamhealthtracker.h"
#include "framework/global/systemclock.h"
#include "framework/httpserver/httpserver.h"
#include "framework/logging/log.h"
#include "framework/metrics/metricsregistry.h"
#include "framework/tls/tlslistener.h"
#include "membership/membershipcontroller.h"
#include "peerlink/peertransport.h"
#include "ports/ports.h"

#include <atomic>
#include <random>
#include <thread>

namespace magnolia::app
{

namespace
{

constexpr Milliseconds loopInterval{200};
/** Requests end at least this long before the process, so that their answers are sent. */
constexpr Milliseconds finalAnswerTime{500};
/** After all answers of `locate` have expired, a draining instance stops after this time without a new request. */
constexpr Milliseconds minQuietTime{1000};
/** Maximum wait for the acknowledgements of the last handover of idempotency keys. */
constexpr Milliseconds maxHandoverTime{5000};
constexpr int maxOperatorConnections = 32;

peerlink::PeerKeys toPeerKeys(const settings::PeerSettings &peer)
{
    peerlink::PeerKeys keys;
    for (const settings::PeerKey &key : peer.keys) {
        keys.secrets[key.id] = key.secret;
    }
    keys.sendKey = peer.sendKey;
    return keys;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

entry::CallerHandlerSettings toHandlerSettings(const settings::Settings &settings)
{
    entry::CallerHandlerSettings handlerSettings;
    handlerSettings.instance = settings.instance;
    handlerSettings.advertisedAddress = settings.caller.advertisedAddress;
    handlerSettings.locateTtl = settings.limits.locateTtl;
    handlerSettings.maxBodySize = settings.limits.maxBodySize;
    handlerSettings.bodyTimeout = settings.limits.requestReadTimeout;
    handlerSettings.maxOpenRequests = static_cast<int>(settings.limits.maxOpenRequests);
    return handlerSettings;
}

HttpServerLimits toServerLimits(const settings::Settings &settings)
{
    HttpServerLimits limits;
    // Leaves connections for refusals beyond the limit of open requests.
    limits.maxConnections
        = static_cast<int>(settings.limits.maxOpenRequests + settings.limits.maxOpenRequests / 4) + 64;
    limits.headTimeout = settings.limits.requestReadTimeout;
    limits.stallTimeout = settings.limits.requestReadTimeout;
    limits.maxHeaderFields = static_cast<int>(settings.limits.maxHeaderFields);
    return limits;
}

Result<std::unique_ptr<HttpServer>> listen(const std::string &address, const std::optional<settings::TlsFiles> &tls,
    TlsIdentity &identity, IHttpHandler &handler, const HttpServerLimits &limits)
{
    if (!tls) {
        return HttpServer::listen(address, handler, limits);
    }
    return identity.load(tls->certificate, tls->key)
        .and_then([&] {
            return listenTls(address, identity);
        })
        .map([&](const Poco::Net::ServerSocket &socket) {
            return HttpServer::serve(socket, handler, limits);
        });
}

} // namespace

struct EntryProcess::Impl
{
    Impl(settings::Settings read, std::string path)
        : settings(std::move(read))
        , settingsPath(std::move(path))
        , incarnation(static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()))
        , client(upstreams::makeHttpUpstreamClient())
        , transport(peerlink::makePeerTransport(
              {settings.instance, incarnation, settings.peer.address}, toPeerKeys(settings.peer), {}, clock))
        , configurationService(ports::makeConfigurationService(settings.platform.configuration))
        , instanceList(ports::makeInstanceList(settings.platform.instances))
        , configurationPeers(configuration::makePeerlinkPeers(blackboard, *transport))
        , configuration(blackboard, *configurationService, *configurationPeers, clock,
              {settings.instance, settings.dataCentre}, {}, randomSeed())
        , listController(blackboard, *instanceList, clock, {}, randomSeed())
        , cancelQueue(*client)
        , membership(membership::makeMembership(
              {settings.instance, incarnation, settings.peer.address}, {}, *transport, blackboard, clock, randomSeed()))
        , health(blackboard)
        , policy(settings.dataCentre, blackboard, clock, health, randomSeed())
        , keys(settings.instance, incarnation, blackboard, clock, *transport)
        , observer(settings.instance, settings.dataCentre, blackboard, clock, *client, *transport, health)
        , memory(settings.instance, incarnation, settings.dataCentre, blackboard, clock, *client, cancelQueue,
              activeRequests)
        , runner({clock, *client, policy, keys, cancelQueue, activeRequests, metrics, stopDeadline,
              settings.instance.value() + '/' + std::to_string(incarnation.count()),
              settings.limits.upstreamSilenceTimeout})
        , callers(toHandlerSettings(settings), blackboard, runner, clock, randomSeed())
        , operators({[this] {
                         return status();
                     },
                        [this] {
                            return notReadyReason();
                        },
                        [this] {
                            isDrainRequested = true;
                        }},
              metrics)
    {
    }

    void reload();

    [[nodiscard]] std::string notReadyReason() const
    {
        if (callers.isLeaving()) {
            return "draining";
        }
        if (!configuration.isReady()) {
            return "no configuration that the peers have confirmed yet";
        }
        return blackboard.publishedList.read()->revision == 0 ? "no list of instances yet" : "";
    }

    [[nodiscard]] std::string status() const
    {
        const std::string reason = notReadyReason();
        const StatusHead head{settings.instance.value(), incarnation.count(), settings.dataCentre.value(),
            reason.empty() ? "ready" : reason, callers.openRequestCount(), cancelQueue.pendingCount()};
        return statusJson(head, blackboard, clock.monotonicNow());
    }

    SystemClock clock;
    settings::Settings settings;
    std::string settingsPath;
    Incarnation incarnation;
    Blackboard blackboard;
    metrics::MetricsRegistry metrics;
    std::unique_ptr<upstreams::IUpstreamClient> client;
    std::unique_ptr<peerlink::IPeerTransport> transport;
    std::unique_ptr<ports::IConfigurationService> configurationService;
    std::unique_ptr<ports::IInstanceList> instanceList;
    std::unique_ptr<configuration::IConfigurationPeers> configurationPeers;
    configuration::ConfigurationController configuration;
    configuration::InstanceListController listController;
    entry::ActiveRequests activeRequests;
    entry::CancelQueue cancelQueue;
    std::unique_ptr<membership::IMembership> membership;
    entry::UpstreamHealthTracker health;
    entry::DispatchPolicy policy;
    entry::IdempotencyController keys;
    entry::LoadObserver observer;
    entry::MemoryReconciler memory;
    entry::StopDeadline stopDeadline;
    entry::RequestRunner runner;
    entry::CallerHandler callers;
    entry::OperatorHandler operators;
    TlsIdentity callerTls;
    TlsIdentity operatorTls;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> operatorServer;
    std::atomic<bool> isDrainRequested = false;
};

EntryProcess::EntryProcess(settings::Settings settings, std::string settingsPath)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(settingsPath)))
{
}

EntryProcess::~EntryProcess()
{
    m_impl->membership->stop();
    configuration::disconnectFromPeerlink(*m_impl->transport);
    m_impl->transport->stop();
}

// Reloads only keys and certificates; changes of other settings take effect at the next start.
void EntryProcess::Impl::reload()
{
    const auto reloadedSettings = settings::readSettings(settingsPath);
    if (!reloadedSettings) {
        const std::string problems = settings::toString(reloadedSettings.error());
        logging::write(logging::Level::Error, "app", "reload_refused", {{"detail", std::string_view(problems)}});
        return;
    }
    transport->setKeys(toPeerKeys(reloadedSettings->peer));
    const auto renew = [](TlsIdentity &identity, const std::optional<settings::TlsFiles> &tls) -> Result<void> {
        return tls ? identity.load(tls->certificate, tls->key) : Result<void>();
    };
    const auto callers = renew(callerTls, reloadedSettings->caller.tls);
    const auto operators = renew(operatorTls, reloadedSettings->operators.tls);
    for (const auto *renewed : {&callers, &operators}) {
        if (!*renewed) {
            logging::write(logging::Level::Error, "app", "certificate_refused",
                {{"detail", std::string_view(renewed->error().detail)}});
        }
    }
    logging::write(
        logging::Level::Info, "app", "reloaded", {{"send_key", std::uint64_t{reloadedSettings->peer.sendKey}}});
}

Result<void> EntryProcess::start()
{
    Impl &impl = *m_impl;
    if (auto started = impl.transport->start(); !started) {
        return started;
    }
    HttpServerLimits operatorLimits = toServerLimits(impl.settings);
    operatorLimits.maxConnections = maxOperatorConnections;
    auto operatorServer = listen(
        impl.settings.operators.address, impl.settings.operators.tls, impl.operatorTls, impl.operators, operatorLimits);
    if (!operatorServer) {
        return tl::unexpected(operatorServer.error());
    }
    auto callerServer = listen(impl.settings.caller.address, impl.settings.caller.tls, impl.callerTls, impl.callers,
        toServerLimits(impl.settings));
    if (!callerServer) {
        return tl::unexpected(callerServer.error());
    }
    impl.operatorServer = std::move(*operatorServer);
    impl.callerServer = std::move(*callerServer);
    impl.metrics.setGauge("magnolia_open_requests", [&impl] {
        return impl.callers.openRequestCount();
    });
    configuration::connectToPeerlink(*impl.transport, impl.configuration);
    impl.listController.start();
    impl.configuration.start();
    impl.health.setLeavingHandler([&impl](const UpstreamId &upstream, bool isLeaving) {
        impl.membership->reportUpstream(upstream, isLeaving);
    });
    impl.membership->start();
    impl.keys.start();
    impl.observer.start();
    impl.memory.start();
    logging::write(logging::Level::Info, "app", "started",
        {{"caller", std::string_view(impl.settings.caller.address)}, {"incarnation", impl.incarnation.count()}});
    return {};
}

bool EntryProcess::runUntilStopped()
{
    Impl &impl = *m_impl;
    while (!impl.isDrainRequested) {
        const Signal signal = waitForSignal(loopInterval);
        if (signal == Signal::Stop) {
            impl.isDrainRequested = true;
        } else if (signal == Signal::Reload) {
            impl.reload();
        }
        impl.health.removeUnlisted();
    }
    logging::write(
        logging::Level::Info, "app", "draining", {{"open_requests", std::int64_t{impl.callers.openRequestCount()}}});
    impl.callers.beginLeaving();
    impl.membership->announceLeave();
    impl.callerServer->disableKeepAlive();
    const MonoTime drainStart = impl.clock.monotonicNow();
    const MonoTime locateAnswersExpireAt = drainStart + impl.settings.limits.locateTtl;
    const MonoTime drainDeadline = drainStart + impl.settings.limits.maxDrainTime;
    impl.stopDeadline.set(drainDeadline - finalAnswerTime);
    MonoTime lastRequestAt = drainStart;
    int acceptedCount = impl.callerServer->acceptedConnectionCount();
    while (true) {
        if (waitForSignal(loopInterval) == Signal::Stop) {
            logging::write(logging::Level::Warning, "app", "stopped_at_once", {});
            return false;
        }
        const MonoTime now = impl.clock.monotonicNow();
        if (impl.callers.openRequestCount() > 0 || impl.callerServer->acceptedConnectionCount() != acceptedCount) {
            acceptedCount = impl.callerServer->acceptedConnectionCount();
            lastRequestAt = now;
        }
        const bool isQuiet = now >= locateAnswersExpireAt && now - lastRequestAt >= minQuietTime
            && impl.cancelQueue.pendingCount() == 0;
        if (isQuiet || now >= drainDeadline) {
            break;
        }
    }
    impl.keys.stopOwning();
    const MonoTime handoverDeadline = impl.clock.monotonicNow() + maxHandoverTime;
    while (impl.keys.isHandingOver() && impl.clock.monotonicNow() < handoverDeadline) {
        std::this_thread::sleep_for(loopInterval);
    }
    impl.callerServer->stopAccepting();
    const bool isComplete = impl.callers.openRequestCount() == 0 && impl.stopDeadline.cutRequestCount() == 0;
    logging::write(logging::Level::Info, "app", "stopped", {{"whole", isComplete}});
    logging::flush();
    return isComplete;
}

} // namespace magnolia::app
