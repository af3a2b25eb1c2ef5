// One entry instance: builds the parts, joins them and runs them until it is told to stop.
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
/** After the last kept answer of `locate` has run out, a leaving instance waits for so long without a new request. */
constexpr Milliseconds quietTime{1000};
/** For the acknowledgements of a last handover of idempotency keys. */
constexpr Milliseconds handoverTime{5000};
constexpr int operatorConnections = 32;

peerlink::PeerKeys toPeerKeys(const settings::PeerSettings &peer)
{
    peerlink::PeerKeys keys;
    for (const settings::PeerKey &key : peer.keys) {
        keys.secrets[key.id] = key.secret;
    }
    keys.sendKey = peer.sendKey;
    return keys;
}

std::uint64_t freshSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

entry::CallerHandlerSettings toHandlerSettings(const settings::Settings &settings)
{
    entry::CallerHandlerSettings made;
    made.instance = settings.instance;
    made.advertisedAddress = settings.caller.advertisedAddress;
    made.locateTtl = settings.limits.locateTtl;
    made.maxBodySize = settings.limits.maxBodySize;
    made.bodyTimeout = settings.limits.requestReadTimeout;
    made.maxOpenRequests = static_cast<int>(settings.limits.maxOpenRequests);
    return made;
}

HttpServerLimits toServerLimits(const settings::Settings &settings)
{
    HttpServerLimits limits;
    // Room for refusals beyond the limit of open requests.
    limits.maxConnections
        = static_cast<int>(settings.limits.maxOpenRequests + settings.limits.maxOpenRequests / 4) + 64;
    limits.headTime = settings.limits.requestReadTimeout;
    limits.stallTime = settings.limits.requestReadTimeout;
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

struct EntryProcess::Parts
{
    Parts(settings::Settings read, std::string path)
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
              {settings.instance, settings.dataCentre}, {}, freshSeed())
        , listController(blackboard, *instanceList, clock, {}, freshSeed())
        , cancels(*client)
        , membership(membership::makeMembership(
              {settings.instance, incarnation, settings.peer.address}, {}, *transport, blackboard, clock, freshSeed()))
        , health(blackboard)
        , policy(settings.dataCentre, blackboard, clock, health, freshSeed())
        , keys(settings.instance, incarnation, blackboard, clock, *transport)
        , observer(settings.instance, settings.dataCentre, blackboard, clock, *client, *transport, health)
        , memory(settings.instance, incarnation, settings.dataCentre, blackboard, clock, *client, cancels, active)
        , runner({clock, *client, policy, keys, cancels, active, metrics,
              settings.instance.value() + '/' + std::to_string(incarnation.count()),
              settings.limits.upstreamSilenceTimeout})
        , callers(toHandlerSettings(settings), blackboard, runner, clock, freshSeed())
        , operators({[this] {
                         return status();
                     },
                        [this] {
                            return notReady();
                        },
                        [this] {
                            isDrainAsked = true;
                        }},
              metrics)
    {
    }

    void reload();

    [[nodiscard]] std::string notReady() const
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
        const std::string reason = notReady();
        const StatusHead head{settings.instance.value(), incarnation.count(), settings.dataCentre.value(),
            reason.empty() ? "ready" : reason, callers.openRequestCount(), cancels.pendingCount()};
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
    entry::ActiveRequests active;
    entry::CancelQueue cancels;
    std::unique_ptr<membership::IMembership> membership;
    entry::UpstreamHealthTracker health;
    entry::DispatchPolicy policy;
    entry::IdempotencyController keys;
    entry::LoadObserver observer;
    entry::MemoryReconciler memory;
    entry::RequestRunner runner;
    entry::CallerHandler callers;
    entry::OperatorHandler operators;
    TlsIdentity callerTls;
    TlsIdentity operatorTls;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> operatorServer;
    std::atomic<bool> isDrainAsked = false;
};

EntryProcess::EntryProcess(settings::Settings settings, std::string settingsPath)
    : m_parts(std::make_unique<Parts>(std::move(settings), std::move(settingsPath)))
{
}

EntryProcess::~EntryProcess()
{
    m_parts->membership->stop();
    configuration::disconnectFromPeerlink(*m_parts->transport);
    m_parts->transport->stop();
}

// Keys and certificates only; all other settings stand until the next start.
void EntryProcess::Parts::reload()
{
    const auto fresh = settings::readSettings(settingsPath);
    if (!fresh) {
        const std::string problems = settings::toString(fresh.error());
        logging::write(logging::Level::Error, "app", "reload_refused", {{"detail", std::string_view(problems)}});
        return;
    }
    transport->setKeys(toPeerKeys(fresh->peer));
    const auto renew = [](TlsIdentity &identity, const std::optional<settings::TlsFiles> &tls) -> Result<void> {
        return tls ? identity.load(tls->certificate, tls->key) : Result<void>();
    };
    const auto callers = renew(callerTls, fresh->caller.tls);
    const auto operators = renew(operatorTls, fresh->operators.tls);
    for (const auto *renewed : {&callers, &operators}) {
        if (!*renewed) {
            logging::write(logging::Level::Error, "app", "certificate_refused",
                {{"detail", std::string_view(renewed->error().detail)}});
        }
    }
    logging::write(logging::Level::Info, "app", "reloaded", {{"send_key", std::uint64_t{fresh->peer.sendKey}}});
}

Result<void> EntryProcess::start()
{
    Parts &parts = *m_parts;
    if (auto started = parts.transport->start(); !started) {
        return started;
    }
    HttpServerLimits operatorLimits = toServerLimits(parts.settings);
    operatorLimits.maxConnections = operatorConnections;
    auto operatorServer = listen(parts.settings.operators.address, parts.settings.operators.tls, parts.operatorTls,
        parts.operators, operatorLimits);
    if (!operatorServer) {
        return tl::unexpected(operatorServer.error());
    }
    auto callerServer = listen(parts.settings.caller.address, parts.settings.caller.tls, parts.callerTls, parts.callers,
        toServerLimits(parts.settings));
    if (!callerServer) {
        return tl::unexpected(callerServer.error());
    }
    parts.operatorServer = std::move(*operatorServer);
    parts.callerServer = std::move(*callerServer);
    parts.metrics.setGauge("magnolia_open_requests", [&parts] {
        return parts.callers.openRequestCount();
    });
    configuration::connectToPeerlink(*parts.transport, parts.configuration);
    parts.listController.start();
    parts.configuration.start();
    parts.health.setLeavingHandler([&parts](const UpstreamId &upstream, bool isLeaving) {
        parts.membership->reportUpstream(upstream, isLeaving);
    });
    parts.membership->start();
    parts.keys.start();
    parts.observer.start();
    parts.memory.start();
    logging::write(logging::Level::Info, "app", "started",
        {{"caller", std::string_view(parts.settings.caller.address)}, {"incarnation", parts.incarnation.count()}});
    return {};
}

bool EntryProcess::runUntilStopped()
{
    Parts &parts = *m_parts;
    while (!parts.isDrainAsked) {
        const Signal signal = waitForSignal(loopInterval);
        if (signal == Signal::Stop) {
            parts.isDrainAsked = true;
        } else if (signal == Signal::Reload) {
            parts.reload();
        }
        parts.health.removeUnlisted();
    }
    logging::write(
        logging::Level::Info, "app", "draining", {{"open_requests", std::int64_t{parts.callers.openRequestCount()}}});
    parts.callers.beginLeaving();
    parts.membership->announceLeave();
    parts.callerServer->closeIdle();
    const MonoTime begin = parts.clock.monotonicNow();
    const MonoTime answersGone = begin + parts.settings.limits.locateTtl;
    const MonoTime end = begin + parts.settings.limits.maxDrainTime;
    MonoTime lastRequestAt = begin;
    int accepted = parts.callerServer->acceptedConnections();
    while (true) {
        if (waitForSignal(loopInterval) == Signal::Stop) {
            logging::write(logging::Level::Warning, "app", "stopped_at_once", {});
            return false;
        }
        const MonoTime now = parts.clock.monotonicNow();
        if (parts.callers.openRequestCount() > 0 || parts.callerServer->acceptedConnections() != accepted) {
            accepted = parts.callerServer->acceptedConnections();
            lastRequestAt = now;
        }
        const bool isQuiet
            = now >= answersGone && now - lastRequestAt >= quietTime && parts.cancels.pendingCount() == 0;
        if (isQuiet || now >= end) {
            break;
        }
    }
    parts.keys.stopOwning();
    const MonoTime handoverEnd = parts.clock.monotonicNow() + handoverTime;
    while (parts.keys.isHandingOver() && parts.clock.monotonicNow() < handoverEnd) {
        std::this_thread::sleep_for(loopInterval);
    }
    parts.callerServer->stopAccepting();
    const bool isWhole = parts.callers.openRequestCount() == 0;
    logging::write(logging::Level::Info, "app", "stopped", {{"whole", isWhole}});
    logging::flush();
    return isWhole;
}

} // namespace magnolia::app
