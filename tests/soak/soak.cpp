// Controls the phases of a run.
#include "soak.h"

#include "framework/httpclient/httpclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <unistd.h>

namespace magnolia::soak
{

namespace
{

using Json = nlohmann::json;

constexpr int firstPort = 21'000;
constexpr Milliseconds restartCheckInterval{100};
constexpr Milliseconds directoryPollInterval{300};
constexpr Milliseconds checkInterval{200};
/** Delay between the end of a process and its restart. */
constexpr Milliseconds restartDelay{300};
/** A leaving upstream has to serve for another 2000 ms (documented limit); 1500 ms are added as a margin. */
constexpr Milliseconds drainDuration{2000 + 1500};
constexpr Milliseconds replacementDelay{200};
/** Time for which a store is away before it comes back from an older copy. */
constexpr Milliseconds storeRestartTime{300};
/** Time in which the operator and the upstreams notice what the store has lost and write it again. */
constexpr Milliseconds rewriteDelay{600};
/** Requests per second that an upstream in need takes; a fraction of what it gets otherwise. */
constexpr double upstreamLimit = 1.5;
/** The store entry of a crashed upstream expires after three missed heartbeat intervals. */
constexpr Milliseconds entryExpiryDelay{3000};
/** Time after which an upstream that a request has crashed is started again. */
constexpr Milliseconds crashRestartDelay{1200};
/** Crashes after which such requests have to be known (documented limits). */
constexpr int maxCrashesByPart = 5;
constexpr int maxCrashesByRequest = 3;
/** Longer than any fault of the plan, so that all faults have been reverted after it. */
constexpr Milliseconds recoveryTime{4500};
/** Timeout for conditions without a time limit of their own; far above all time limits, it only ends a hanging run. */
constexpr Milliseconds hangGuard{60'000};
constexpr Milliseconds pollTimeout{1000};
constexpr std::size_t minRemaining = 2;
/** Keeps points in time from overflowing. */
constexpr std::chrono::hours outOfTouchMargin{1};
constexpr std::size_t maxReplySize = 1 << 20;

/** Returns a loopback address from a block that depends on the process id, so that parallel runs do not collide. */
std::string loopbackAddress(std::size_t host)
{
    constexpr int blocks = 250;
    const int pid = static_cast<int>(::getpid());
    return "127." + std::to_string(20 + pid / blocks % 200) + '.' + std::to_string(1 + pid % blocks) + '.'
        + std::to_string(host);
}

constexpr std::size_t zoneCount = 3;
/** Time for which the store is silent after an item of an evacuation. */
constexpr Milliseconds evacuationSilence{2000};

std::string zoneName(std::size_t number)
{
    return "z" + std::to_string(number % zoneCount + 1);
}

/** Returns the trigger in force that the request contains; empty if there is none. */
std::string findCrashTrigger(const SoakCaller::Environment &environment, const Request &request)
{
    if (!environment.crashingBody.empty() && request.body == environment.crashingBody) {
        return environment.crashingBody;
    }
    const std::string &part = environment.crashingPart;
    const std::string_view parts = request.head.fields.value("Prompt-Prefix");
    return !part.empty() && parts.find(part + ':') != std::string_view::npos ? part : std::string();
}

double gaugeValue(const std::string &metrics, const std::string &name)
{
    const std::size_t at = metrics.find('\n' + name + ' ');
    return at == std::string::npos ? -1 : std::atof(metrics.c_str() + at + name.size() + 2);
}

} // namespace

Soak::Soak(SoakParameters parameters)
    : m_parameters(std::move(parameters))
    , m_random(m_parameters.plan.seed)
    , m_ledger(m_parameters.hasTimedChecks)
    , m_environment{m_loop, m_ledger, m_random,
          [this] {
              return m_addresses.empty() ? std::string() : m_addresses[m_random.below(m_addresses.size())];
          },
          [this](const std::string &address) {
              for (const auto &it : m_gateways) {
                  if (it->callerAddress() == address) {
                      return it->processName();
                  }
              }
              return std::string();
          }}
    , m_plan(makePlan(m_parameters.plan))
{
    constexpr std::size_t storeHost = 2;
    constexpr std::size_t firstGatewayHost = 10;
    constexpr std::size_t firstUpstreamHost = 150;
    m_store = std::make_unique<SoakStore>(m_loop, loopbackAddress(storeHost) + ":0");
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(m_parameters.gatewayCount, 3); ++i) {
        seeds.push_back(loopbackAddress(firstGatewayHost + i));
    }
    for (std::size_t i = 0; i < m_parameters.gatewayCount; ++i) {
        m_storeLinks.push_back(std::make_shared<Proxy>(m_loop, m_store->address()));
        m_storeLinks.back()->listen(loopbackAddress(storeHost) + ":0");
        m_gateways.push_back(std::make_unique<GatewayProcess>(GatewayProcess::Options{
            m_parameters.previousBinary.empty() ? m_parameters.binary : m_parameters.previousBinary,
            m_parameters.workDirectory, "g" + std::to_string(i + 1), zoneName(i), loopbackAddress(firstGatewayHost + i),
            firstPort, m_storeLinks.back()->address(), seeds}));
    }
    std::vector<std::string> versions{"v1"};
    for (const Fault &it : m_plan) {
        if (it.action == Action::ChangeConfiguration) {
            versions.push_back("v" + std::to_string(versions.size() + 1));
        }
    }
    for (std::size_t i = 0; i < m_parameters.engineCount + m_parameters.serviceCount; ++i) {
        SoakUpstream::Options options;
        options.isEngine = i < m_parameters.engineCount;
        options.service = options.isEngine ? "engine" : "app";
        options.zone = zoneName(i);
        options.ip = loopbackAddress(firstUpstreamHost + i);
        if (!options.isEngine) {
            options.aliases = versions;
        }
        options.findCrashTrigger = [this](const Request &request) {
            return findCrashTrigger(m_environment, request);
        };
        options.processAt = [this](const std::string &ip) {
            for (const auto &it : m_gateways) {
                if (it->ip() == ip) {
                    return it->processName();
                }
            }
            return std::string();
        };
        options.onCrashed = [this](SoakUpstream &upstream) {
            restartUpstream(upstream, crashRestartDelay);
        };
        m_upstreams.push_back(std::make_unique<SoakUpstream>(m_loop, options, *m_store, m_ledger, m_random));
    }
    m_unreleasedCounts.resize(m_parameters.gatewayCount);
    m_isReady.resize(m_parameters.gatewayCount);
}

Soak::~Soak() = default;

std::size_t Soak::faultCount() const
{
    return m_plan.size();
}

const std::pair<int, int> &Soak::binaryChangeCounts() const
{
    return m_binaryChangeCounts;
}

std::string Soak::nextUpstreamId()
{
    return "i-" + std::to_string(m_nextId++);
}

const Ledger &Soak::run()
{
    publishConfiguration();
    for (const auto &it : m_upstreams) {
        it->start(nextUpstreamId());
    }
    for (const auto &it : m_gateways) {
        it->start();
    }
    restartEndedGateways();
    runWhenAllReady("gateways ready after the start", [this] {
        startTraffic();
    });
    m_loop.run();
    m_ledger.checkGuarantees();
    return m_ledger;
}

void Soak::publishConfiguration()
{
    const std::string versionedService = "v" + std::to_string(m_version);
    Json routes = Json::array();
    const auto addRoute = [&](const char *name, const char *kind, const std::string &service) {
        routes.push_back({{"Name", name}, {"Host", "soak.example"}, {"Prefix", '/' + std::string(name) + '/'},
            {"Kind", kind}, {"Service", service}, {"TimeoutMs", 7000}, {"TargetLatencyMs", 1000}, {"GapTargetMs", 500},
            {"Priority", 1}, {"MaxAttempts", 2}, {"Resumable", true}, {"Public", false}});
    };
    addRoute("stream", "streaming", "engine");
    addRoute("once", "unsafe", "app");
    addRoute("safe", "safe", "app");
    addRoute("versioned", "safe", versionedService);
    Json services = Json::array();
    services.push_back({{"Name", "engine"}, {"HealthPath", "/health"}, {"MaxConnections", 400},
        {"Engine",
            {{"Slots", 16}, {"KvCapacityTokens", 100'000}, {"Stride", 10}, {"step_ms", 1.0}, {"per_seq_ms", 0.001},
                {"context_per_k", 0.001}, {"read_per_s", 1'000'000}, {"pairs_per_m", 0.001}, {"chunk", 2048},
                {"HopMs", 0.1}}}});
    services.push_back({{"Name", "app"}, {"HealthPath", "/health"}, {"MaxConnections", 400}});
    services.push_back({{"Name", versionedService}, {"HealthPath", "/health"}, {"MaxConnections", 400}});
    const Json configuration{{"Version", m_version * 3}, {"Routes", routes}, {"Services", services},
        {"Limits",
            {{"MaxHeaderBytes", 16'384}, {"MaxBodyBytes", 1 << 20}, {"HeaderTimeoutMs", 3000},
                {"IdleTimeoutMs", 15'000}}},
        {"Tenants", {{{"Name", "acme"}, {"ApiKeys", {"key"}}, {"Priority", 1}}}}};
    m_store->put("op/config", configuration.dump());
    m_ledger.recordConfigurationVersion(m_version, versionedService, m_loop.now());
    ++m_version;
}

void Soak::poll(const std::string &address, const std::string &path, std::function<void(int, const std::string &)> done)
{
    const auto call = std::make_shared<httpclient::HttpClient>(m_loop, address, eventloop::TcpTimeouts{}, maxReplySize);
    call->send(
        "GET", path, {}, pollTimeout, [call, done = std::move(done)](const Result<httpclient::HttpReply> &reply) {
            done(reply ? reply->status : 0, reply ? reply->body : std::string());
        });
}

void Soak::waitFor(const std::string &guarantee, std::function<bool()> isDone, std::function<void()> then)
{
    const MonoTime begunAt = m_loop.now();
    const auto check = std::make_shared<std::function<void()>>();
    *check = [this, guarantee, isDone = std::move(isDone), then = std::move(then), begunAt, check] {
        const bool isTimedOut = m_loop.now() - begunAt > hangGuard;
        if (!isDone() && !isTimedOut) {
            m_loop.after(checkInterval, *check);
            return;
        }
        if (isTimedOut) {
            m_ledger.addViolation(guarantee, "-", "not fulfilled within " + std::to_string(hangGuard.count()) + " ms");
        }
        then();
    };
    m_loop.defer(*check);
}

void Soak::runWhenAllReady(const std::string &guarantee, std::function<void()> then)
{
    m_isReady.assign(m_gateways.size(), false);
    waitFor(
        guarantee,
        [this] {
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                poll(m_gateways[i]->readinessAddress(), "/-/ready", [this, i](int status, const std::string &) {
                    m_isReady[i] = status == 200;
                });
            }
            return std::all_of(m_isReady.begin(), m_isReady.end(), [](bool it) {
                return it;
            });
        },
        std::move(then));
}

void Soak::pollDirectory()
{
    const auto &gateway = m_gateways[m_nextDirectoryNumber++ % m_gateways.size()];
    poll(gateway->directoryAddress(), "/-/resolve?Name=soak.example&Region=r&Zone=z1",
        [this](int status, const std::string &body) {
            const Json answer = Json::parse(body, nullptr, false);
            if (status == 200 && answer.is_object() && answer.contains("Addresses")) {
                m_addresses = answer["Addresses"].get<std::vector<std::string>>();
            }
        });
    m_loop.after(directoryPollInterval, [this] {
        pollDirectory();
    });
}

void Soak::startTraffic()
{
    const MonoTime now = m_loop.now();
    m_ledger.setPlannedPhase(now, now + m_parameters.plan.plannedPhaseDuration);
    pollDirectory();
    for (int i = 0; i < m_parameters.callerCount; ++i) {
        m_callers.push_back(std::make_shared<SoakCaller>(m_environment, i + 1));
        m_callers.back()->start();
    }
    for (const Fault &it : m_plan) {
        m_loop.after(it.at, [this, it] {
            applyFault(it);
        });
    }
    if (!m_parameters.previousBinary.empty()) {
        for (const BinaryChange &it : makeBinaryChanges(m_parameters.plan, m_gateways.size())) {
            m_loop.after(it.at, [this, it] {
                applyBinaryChange(it);
            });
        }
    }
    m_loop.after(m_parameters.plan.plannedPhaseDuration + m_parameters.plan.faultPhaseDuration + recoveryTime, [this] {
        killAllForFinalCheck();
    });
}

void Soak::applyTemporarily(
    const Fault &fault, const std::string &key, const std::function<void()> &apply, std::function<void()> revert)
{
    if (!m_activeKeys.insert(key).second) {
        return;
    }
    apply();
    m_loop.after(fault.duration, [this, key, revert = std::move(revert)] {
        m_activeKeys.erase(key);
        revert();
    });
}

void Soak::applyFault(const Fault &fault)
{
    if (m_parameters.isVerbose) {
        std::cout << "  " << fault.at.count() << " ms for " << fault.duration.count()
                  << " ms: " << toString(fault.action) << " (" << fault.targetNumber << ")\n";
    }
    if (fault.action >= Action::KillGateway && fault.action <= Action::StoreLinkSlow) {
        m_ledger.recordDisruption(m_loop.now() + fault.duration + storeRestartTime + rewriteDelay);
    }
    if (fault.action == Action::ChangeConfiguration) {
        publishConfiguration();
    } else if (fault.action >= Action::StoreUnavailable && fault.action <= Action::StoreLinkSlow) {
        applyStoreFault(fault);
    } else if (fault.action == Action::CrashingPart || fault.action == Action::CrashingRequest) {
        applyCrashTrigger(fault);
    } else if (fault.action == Action::CutGateways) {
        cutGateways(fault);
    } else if (fault.action == Action::EvacuateDataCentre || fault.action == Action::EvacuateBesideSilentStore) {
        evacuate(fault);
    } else if (fault.action == Action::ReplaceUpstream || fault.action >= Action::UpstreamLinkSilent) {
        applyUpstreamFault(fault);
    } else {
        applyGatewayFault(fault);
    }
}

bool Soak::stopGateway(GatewayProcess &gateway)
{
    const auto servingCount = std::count_if(m_gateways.begin(), m_gateways.end(), [](const auto &it) {
        return it->isRunning() && !it->isStopping && !it->isPaused;
    });
    if (gateway.isStopping || static_cast<std::size_t>(servingCount) <= minRemaining) {
        return false;
    }
    gateway.isStopping = true;
    m_ledger.recordOutOfTouch(gateway.processName(), m_loop.now(), MonoTime::max() - outOfTouchMargin);
    gateway.sendSignal(SIGTERM);
    return true;
}

void Soak::applyBinaryChange(const BinaryChange &change)
{
    GatewayProcess &gateway = *m_gateways[change.gateway];
    gateway.setBinary(change.isUpgrade ? m_parameters.binary : m_parameters.previousBinary);
    // A process that has ended or is stopping is started on the new binary anyway.
    if (gateway.isRunning() && !gateway.isStopping && (gateway.isPaused || !stopGateway(gateway))) {
        m_loop.after(restartCheckInterval, [this, change] {
            applyBinaryChange(change);
        });
        return;
    }
    if (m_parameters.isVerbose) {
        std::cout << "  " << gateway.processName()
                  << (change.isUpgrade ? " goes on with the new binary\n" : " goes back to the previous binary\n");
    }
    ++(change.isUpgrade ? m_binaryChangeCounts.first : m_binaryChangeCounts.second);
}

void Soak::applyGatewayFault(const Fault &fault)
{
    GatewayProcess &gateway = *m_gateways[fault.targetNumber % m_gateways.size()];
    if (!gateway.isRunning() || gateway.isPaused) {
        return;
    }
    switch (fault.action) {
    case Action::StopGateway:
        stopGateway(gateway);
        return;
    case Action::ReloadGateway:
        gateway.sendSignal(SIGHUP);
        return;
    case Action::PauseGateway:
        gateway.isPaused = true;
        m_ledger.recordOutOfTouch(gateway.processName(), m_loop.now(), m_loop.now() + fault.duration);
        gateway.sendSignal(SIGSTOP);
        m_loop.after(fault.duration, [&gateway] {
            gateway.isPaused = false;
            gateway.sendSignal(SIGCONT);
        });
        return;
    case Action::KillAllGateways:
        for (const auto &it : m_gateways) {
            it->sendSignal(SIGKILL);
        }
        m_ledger.forgetCrashes();
        return;
    default:
        gateway.sendSignal(SIGKILL);
    }
}

void Soak::applyStoreFault(const Fault &fault)
{
    const auto applyMode = [&](SoakStore::Mode mode) {
        applyTemporarily(
            fault, "store",
            [this, mode] {
                m_store->setMode(mode);
            },
            [this] {
                m_store->setMode(SoakStore::Mode::Serving);
            });
    };
    const std::size_t number = fault.targetNumber % m_storeLinks.size();
    const auto applyLinkFault = [&](LinkFault linkFault) {
        Proxy &proxy = *m_storeLinks[number];
        applyTemporarily(
            fault, "link " + std::to_string(number),
            [&proxy, linkFault] {
                proxy.setFault(linkFault);
            },
            [&proxy] {
                proxy.setFault({});
            });
    };
    LinkFault linkFault;
    switch (fault.action) {
    case Action::StoreUnavailable:
        applyMode(SoakStore::Mode::Unavailable);
        return;
    case Action::StoreSilent:
        applyMode(SoakStore::Mode::Silent);
        return;
    case Action::StoreResetting:
        applyMode(SoakStore::Mode::Resetting);
        return;
    case Action::StoreHistoryLost:
        m_store->discardHistory();
        return;
    case Action::StoreReturnsOlder:
        applyTemporarily(
            fault, "store",
            [this] {
                m_store->takeCopy();
            },
            [this] {
                m_store->setMode(SoakStore::Mode::Silent);
                m_loop.after(storeRestartTime, [this] {
                    m_store->restoreCopy(rewriteDelay);
                    m_store->setMode(SoakStore::Mode::Serving);
                });
            });
        return;
    case Action::StoreLinkSilent:
        linkFault.isDroppingForward = true;
        linkFault.isDroppingBackward = true;
        break;
    case Action::StoreLinkOneWay:
        linkFault.isDroppingBackward = true;
        break;
    default:
        linkFault.delay = Milliseconds(300);
    }
    applyLinkFault(linkFault);
}

void Soak::applyCrashTrigger(const Fault &fault)
{
    const bool isPart = fault.action == Action::CrashingPart;
    const std::string name = (isPart ? "part-" : "body-") + std::to_string(fault.targetNumber);
    m_ledger.addCrashTrigger(name, isPart ? maxCrashesByPart : maxCrashesByRequest);
    std::string &trigger = isPart ? m_environment.crashingPart : m_environment.crashingBody;
    applyTemporarily(
        fault, name,
        [&trigger, &name] {
            trigger = name;
        },
        [&trigger] {
            trigger.clear();
        });
}

void Soak::cutGateways(const Fault &fault)
{
    constexpr std::uint64_t cutKinds = 3;
    Random random(fault.targetNumber);
    const auto cut = static_cast<ClientCut>(random.below(cutKinds));
    const std::size_t count = 1 + random.below(m_gateways.size() - 1);
    const std::size_t first = random.below(m_gateways.size());
    const auto setCut = [this, first, count](std::optional<ClientCut> clientCut) {
        for (std::size_t i = 0; i < count; ++i) {
            for (const auto &upstream : m_upstreams) {
                upstream->proxy().setClientCut(m_gateways[(first + i) % m_gateways.size()]->ip(), clientCut);
            }
        }
    };
    applyTemporarily(
        fault, "cut",
        [this, setCut, cut, first, count, duration = fault.duration] {
            setCut(cut);
            for (std::size_t i = 0; i < count; ++i) {
                m_ledger.recordCut(
                    m_gateways[(first + i) % m_gateways.size()]->processName(), m_loop.now(), m_loop.now() + duration);
            }
        },
        [setCut] {
            setCut(std::nullopt);
        });
}

void Soak::restartUpstream(SoakUpstream &upstream, Milliseconds delay)
{
    m_loop.after(delay, [this, &upstream] {
        upstream.stop();
        upstream.start(nextUpstreamId());
    });
}

void Soak::evacuate(const Fault &fault)
{
    const std::string zone = zoneName(fault.targetNumber % zoneCount);
    const std::string key = "op/evacuate/" + zone;
    applyTemporarily(
        fault, key,
        [this, zone, key] {
            m_store->put(key, "{}");
            m_ledger.recordEvacuation(zone, m_loop.now());
        },
        [this, zone, key] {
            m_store->remove(key);
            m_ledger.clearEvacuation(zone);
        });
    if (fault.action == Action::EvacuateBesideSilentStore) {
        m_ledger.recordDisruption(m_loop.now() + evacuationSilence);
        applyTemporarily(
            {fault.at, evacuationSilence, fault.action, fault.targetNumber}, "store",
            [this] {
                m_store->setMode(SoakStore::Mode::Silent);
            },
            [this] {
                m_store->setMode(SoakStore::Mode::Serving);
            });
    }
}

void Soak::replaceUpstream(SoakUpstream &upstream)
{
    upstream.announceLeave();
    m_loop.after(drainDuration, [this, &upstream] {
        upstream.stop();
        m_loop.after(replacementDelay, [this, &upstream] {
            upstream.start(nextUpstreamId());
        });
    });
}

void Soak::applyUpstreamFault(const Fault &fault)
{
    const std::size_t number = fault.targetNumber % m_upstreams.size();
    SoakUpstream &upstream = *m_upstreams[number];
    const bool isEngine = number < m_parameters.engineCount;
    const auto first = m_upstreams.begin() + static_cast<std::ptrdiff_t>(isEngine ? 0 : m_parameters.engineCount);
    const auto last
        = isEngine ? m_upstreams.begin() + static_cast<std::ptrdiff_t>(m_parameters.engineCount) : m_upstreams.end();
    const auto remainingCount = std::count_if(first, last, [](const auto &it) {
        return it->isRunning() && !it->isLeaving();
    });
    if (!upstream.isRunning() || upstream.isLeaving() || static_cast<std::size_t>(remainingCount) <= minRemaining) {
        return;
    }
    const std::string key = "upstream " + std::to_string(number);
    const auto applyLinkFault = [&](LinkFault linkFault) {
        applyTemporarily(
            fault, key,
            [&upstream, linkFault] {
                upstream.proxy().setFault(linkFault);
            },
            [&upstream] {
                upstream.proxy().setFault({});
            });
    };
    const auto applyFaultMode = [&](FaultMode faultMode) {
        applyTemporarily(
            fault, key,
            [&upstream, faultMode] {
                upstream.setFaultMode(faultMode);
            },
            [&upstream] {
                upstream.setFaultMode(FaultMode::None);
            });
    };
    LinkFault linkFault;
    switch (fault.action) {
    case Action::ReplaceUpstream:
        replaceUpstream(upstream);
        return;
    case Action::UpstreamLinkSilent:
        linkFault.isDroppingForward = true;
        linkFault.isDroppingBackward = true;
        applyLinkFault(linkFault);
        return;
    case Action::UpstreamLinkOneWay:
        linkFault.isDroppingBackward = true;
        applyLinkFault(linkFault);
        return;
    case Action::UpstreamLinkReset:
        upstream.proxy().resetAll();
        return;
    case Action::UpstreamCrash:
        upstream.crash();
        restartUpstream(upstream, entryExpiryDelay);
        return;
    case Action::UpstreamTruncating:
        applyFaultMode(FaultMode::Truncating);
        return;
    case Action::UpstreamFailing:
        applyFaultMode(FaultMode::Failing);
        return;
    case Action::UpstreamRefusing:
        applyFaultMode(FaultMode::Refusing);
        return;
    case Action::UpstreamTurningAway:
        applyFaultMode(FaultMode::TurningAway);
        return;
    case Action::UpstreamLimited:
        applyTemporarily(
            fault, key,
            [&upstream] {
                upstream.setLimit(upstreamLimit);
            },
            [&upstream] {
                upstream.setLimit(std::nullopt);
            });
        return;
    default:
        applyFaultMode(FaultMode::Hanging);
    }
}

void Soak::restartEndedGateways()
{
    for (const auto &it : m_gateways) {
        const std::string key = "restart " + it->processName();
        if (!it->isRunning() && m_activeKeys.insert(key).second) {
            m_loop.after(restartDelay, [this, &gateway = *it] {
                gateway.start();
                m_ledger.recordOutOfTouch(gateway.processName(), m_loop.now(), m_loop.now());
            });
        }
    }
    m_loop.after(restartCheckInterval, [this] {
        restartEndedGateways();
    });
}

void Soak::killAllForFinalCheck()
{
    for (const auto &it : m_gateways) {
        it->sendSignal(SIGKILL);
    }
    m_ledger.forgetCrashes();
    // Wait until all gateways have been restarted, since the restarted processes have to serve.
    m_loop.after(2 * restartCheckInterval + restartDelay + restartDelay, [this] {
        checkServiceRestored();
    });
}

void Soak::checkServiceRestored()
{
    waitFor(
        "service restored with the newest configuration",
        [this] {
            const std::string newest = " by v" + std::to_string(m_version - 1);
            return std::all_of(m_gateways.begin(), m_gateways.end(), [&](const auto &gateway) {
                const auto &records = m_ledger.records();
                return std::any_of(records.begin(), records.end(), [&](const auto &it) {
                    return it.second.process == gateway->processName() && it.second.status == 200
                        && it.second.isComplete && it.second.body.ends_with(newest);
                });
            });
        },
        [this] {
            stopTraffic();
        });
}

void Soak::stopTraffic()
{
    for (const auto &it : m_callers) {
        it->stop();
    }
    waitFor(
        "every request ends",
        [this] {
            return std::none_of(m_callers.begin(), m_callers.end(), [](const auto &it) {
                return it->isBusy();
            });
        },
        [this] {
            checkResourcesReleased();
        });
}

void Soak::checkResourcesReleased()
{
    waitFor(
        "all resources released",
        [this] {
            bool isReleased = true;
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                isReleased = isReleased && m_unreleasedCounts[i] == 0.0;
                poll(m_gateways[i]->metricsAddress(), "/metrics", [this, i](int status, const std::string &body) {
                    if (status == 200) {
                        m_unreleasedCounts[i] = gaugeValue(body, "magnolia_gateway_open_requests")
                            + gaugeValue(body, "magnolia_gateway_known_placements");
                    }
                });
            }
            return isReleased && std::all_of(m_upstreams.begin(), m_upstreams.end(), [](const auto &it) {
                return it->reservedTokens() == 0;
            });
        },
        [this] {
            m_loop.stop();
        });
}

} // namespace magnolia::soak
