// The course of one run.
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
constexpr Milliseconds superviseInterval{100};
constexpr Milliseconds directoryInterval{300};
constexpr Milliseconds checkInterval{200};
/** A process is started again so long after its end. */
constexpr Milliseconds restartPause{300};
/** The published time that a leaving upstream serves on, and a little longer. */
constexpr Milliseconds drainTime{2000 + 1500};
constexpr Milliseconds replacePause{200};
/** An entry of a crashed upstream lapses after three silent intervals. */
constexpr Milliseconds lapseTime{3000};
/** Faults of the plan last less; after this all have healed. */
constexpr Milliseconds healTime{4500};
/** A promise without a bound of its own is broken after this; a guard against hanging, far above any bound. */
constexpr Milliseconds hangGuard{60'000};
constexpr Milliseconds pollTime{1000};
constexpr std::size_t fewestLeft = 2;
constexpr std::size_t largestReply = 1 << 20;

/** A block of loopback addresses of this process's own. */
std::string loopback(std::size_t host)
{
    constexpr int blocks = 250;
    const int pid = static_cast<int>(::getpid());
    return "127." + std::to_string(20 + pid / blocks % 200) + '.' + std::to_string(1 + pid % blocks) + '.'
        + std::to_string(host);
}

std::string zoneOf(std::size_t number)
{
    return "z" + std::to_string(number % 3 + 1);
}

double gaugeOf(const std::string &metrics, const std::string &name)
{
    const std::size_t at = metrics.find('\n' + name + ' ');
    return at == std::string::npos ? -1 : std::atof(metrics.c_str() + at + name.size() + 2);
}

} // namespace

Soak::Soak(SoakParameters parameters)
    : m_parameters(std::move(parameters))
    , m_random(m_parameters.plan.seed)
    , m_ledger(m_parameters.hasTimedChecks)
    , m_world{m_loop, m_ledger, m_random,
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
    m_store = std::make_unique<SoakStore>(m_loop, loopback(storeHost) + ":0");
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(m_parameters.gateways, 3); ++i) {
        seeds.push_back(loopback(firstGatewayHost + i));
    }
    for (std::size_t i = 0; i < m_parameters.gateways; ++i) {
        m_storeLinks.push_back(std::make_shared<Proxy>(m_loop, m_store->address()));
        m_storeLinks.back()->listen(loopback(storeHost) + ":0");
        m_gateways.push_back(std::make_unique<GatewayProcess>(
            GatewayProcess::Options{m_parameters.binary, m_parameters.folder, "g" + std::to_string(i + 1), zoneOf(i),
                loopback(firstGatewayHost + i), firstPort, m_storeLinks.back()->address(), seeds}));
    }
    std::vector<std::string> versions{"v1"};
    for (const Fault &it : m_plan) {
        if (it.action == Action::ChangeConfiguration) {
            versions.push_back("v" + std::to_string(versions.size() + 1));
        }
    }
    for (std::size_t i = 0; i < m_parameters.engines + m_parameters.services; ++i) {
        SoakUpstream::Options options;
        options.isEngine = i < m_parameters.engines;
        options.service = options.isEngine ? "engine" : "app";
        options.zone = zoneOf(i);
        options.ip = loopback(firstUpstreamHost + i);
        if (!options.isEngine) {
            options.aliases = versions;
        }
        m_upstreams.push_back(std::make_unique<SoakUpstream>(m_loop, options, *m_store, m_ledger, m_random));
    }
    m_leftOvers.resize(m_parameters.gateways);
    m_isReady.resize(m_parameters.gateways);
}

Soak::~Soak() = default;

std::size_t Soak::faults() const
{
    return m_plan.size();
}

std::string Soak::freshId()
{
    return "i-" + std::to_string(m_nextId++);
}

const Ledger &Soak::run()
{
    publishConfiguration();
    for (const auto &it : m_upstreams) {
        it->start(freshId());
    }
    for (const auto &it : m_gateways) {
        it->start();
    }
    superviseGateways();
    whenAllReady("ready at the start", [this] {
        beginTraffic();
    });
    m_loop.run();
    m_ledger.judge();
    return m_ledger;
}

void Soak::publishConfiguration()
{
    const std::string versioned = "v" + std::to_string(m_version);
    Json routes = Json::array();
    const auto addRoute = [&](const char *name, const char *kind, const std::string &service) {
        routes.push_back({{"Name", name}, {"Host", "soak.example"}, {"Prefix", '/' + std::string(name) + '/'},
            {"Kind", kind}, {"Service", service}, {"TimeoutMs", 7000}, {"TargetLatencyMs", 1000}, {"GapTargetMs", 500},
            {"Priority", 1}, {"MaxAttempts", 2}, {"Resumable", true}, {"Public", false}});
    };
    addRoute("stream", "streaming", "engine");
    addRoute("once", "unsafe", "app");
    addRoute("safe", "safe", "app");
    addRoute("versioned", "safe", versioned);
    Json services = Json::array();
    services.push_back({{"Name", "engine"}, {"HealthPath", "/health"}, {"MaxConnections", 400},
        {"Engine",
            {{"Slots", 16}, {"KvCapacityTokens", 100'000}, {"Stride", 10}, {"step_ms", 1.0}, {"per_seq_ms", 0.001},
                {"context_per_k", 0.001}, {"read_per_s", 1'000'000}, {"pairs_per_m", 0.001}, {"chunk", 2048},
                {"HopMs", 0.1}}}});
    services.push_back({{"Name", "app"}, {"HealthPath", "/health"}, {"MaxConnections", 400}});
    services.push_back({{"Name", versioned}, {"HealthPath", "/health"}, {"MaxConnections", 400}});
    const Json configuration{{"Version", m_version * 3}, {"Routes", routes}, {"Services", services},
        {"Limits",
            {{"MaxHeaderBytes", 16'384}, {"MaxBodyBytes", 1 << 20}, {"HeaderTimeoutMs", 3000},
                {"IdleTimeoutMs", 15'000}}},
        {"Tenants", {{{"Name", "acme"}, {"ApiKeys", {"key"}}, {"Priority", 1}}}}};
    m_store->put("op/config", configuration.dump());
    m_ledger.noteVersion(m_version, versioned, m_loop.now());
    ++m_version;
}

void Soak::poll(const std::string &address, const std::string &path, std::function<void(int, const std::string &)> done)
{
    const auto call = std::make_shared<httpclient::HttpClient>(m_loop, address, eventloop::TcpTimeouts{}, largestReply);
    call->send("GET", path, {}, pollTime, [call, done = std::move(done)](const Result<httpclient::HttpReply> &reply) {
        done(reply ? reply->status : 0, reply ? reply->body : std::string());
    });
}

void Soak::waitFor(const std::string &promise, std::function<bool()> isDone, std::function<void()> then)
{
    const MonoTime begunAt = m_loop.now();
    const auto check = std::make_shared<std::function<void()>>();
    *check = [this, promise, isDone = std::move(isDone), then = std::move(then), begunAt, check] {
        const bool isOver = m_loop.now() - begunAt > hangGuard;
        if (!isDone() && !isOver) {
            m_loop.after(checkInterval, *check);
            return;
        }
        if (isOver) {
            m_ledger.add(promise, "-", "not within " + std::to_string(hangGuard.count()) + " ms");
        }
        then();
    };
    m_loop.defer(*check);
}

void Soak::whenAllReady(const std::string &why, std::function<void()> then)
{
    m_isReady.assign(m_gateways.size(), false);
    waitFor(
        why,
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

void Soak::askDirectory()
{
    const auto &gateway = m_gateways[m_nextDirectory++ % m_gateways.size()];
    poll(gateway->directoryAddress(), "/-/resolve?Name=soak.example&Region=r&Zone=z1",
        [this](int status, const std::string &body) {
            const Json answer = Json::parse(body, nullptr, false);
            if (status == 200 && answer.is_object() && answer.contains("Addresses")) {
                m_addresses = answer["Addresses"].get<std::vector<std::string>>();
            }
        });
    m_loop.after(directoryInterval, [this] {
        askDirectory();
    });
}

void Soak::beginTraffic()
{
    const MonoTime now = m_loop.now();
    m_ledger.setPlannedOnly(now, now + m_parameters.plan.plannedTime);
    askDirectory();
    for (int i = 0; i < m_parameters.callers; ++i) {
        m_callers.push_back(std::make_shared<SoakCaller>(m_world, i + 1));
        m_callers.back()->start();
    }
    for (const Fault &it : m_plan) {
        m_loop.after(it.at, [this, it] {
            begin(it);
        });
    }
    m_loop.after(m_parameters.plan.plannedTime + m_parameters.plan.troubleTime + healTime, [this] {
        finalKill();
    });
}

void Soak::during(
    const Fault &fault, const std::string &key, const std::function<void()> &begin, std::function<void()> heal)
{
    if (!m_held.insert(key).second) {
        return;
    }
    begin();
    m_loop.after(fault.duration, [this, key, heal = std::move(heal)] {
        m_held.erase(key);
        heal();
    });
}

void Soak::begin(const Fault &fault)
{
    if (m_parameters.isVerbose) {
        std::cout << "  " << fault.at.count() << " ms for " << fault.duration.count()
                  << " ms: " << toString(fault.action) << " (" << fault.target << ")\n";
    }
    if (fault.action >= Action::KillGateway && fault.action <= Action::StoreLinkSlow) {
        m_ledger.noteTrouble(m_loop.now() + fault.duration);
    }
    if (fault.action == Action::ChangeConfiguration) {
        publishConfiguration();
    } else if (fault.action >= Action::StoreBusy && fault.action <= Action::StoreLinkSlow) {
        beginStoreFault(fault);
    } else if (fault.action == Action::ReplaceUpstream || fault.action >= Action::UpstreamLinkSilent) {
        beginUpstreamFault(fault);
    } else {
        beginGatewayFault(fault);
    }
}

void Soak::beginGatewayFault(const Fault &fault)
{
    GatewayProcess &gateway = *m_gateways[fault.target % m_gateways.size()];
    const auto serving = std::count_if(m_gateways.begin(), m_gateways.end(), [](const auto &it) {
        return it->isRunning() && !it->isStopping && !it->isPaused;
    });
    if (!gateway.isRunning() || gateway.isPaused) {
        return;
    }
    switch (fault.action) {
    case Action::StopGateway:
        if (!gateway.isStopping && static_cast<std::size_t>(serving) > fewestLeft) {
            gateway.isStopping = true;
            gateway.sendSignal(SIGTERM);
        }
        return;
    case Action::ReloadGateway:
        gateway.sendSignal(SIGHUP);
        return;
    case Action::PauseGateway:
        gateway.isPaused = true;
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
        return;
    default:
        gateway.sendSignal(SIGKILL);
    }
}

void Soak::beginStoreFault(const Fault &fault)
{
    const auto mode = [&](SoakStore::Mode mode) {
        during(
            fault, "store",
            [this, mode] {
                m_store->setMode(mode);
            },
            [this] {
                m_store->setMode(SoakStore::Mode::Serving);
            });
    };
    const std::size_t number = fault.target % m_storeLinks.size();
    const auto link = [&](LinkFault linkFault) {
        Proxy &proxy = *m_storeLinks[number];
        during(
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
    case Action::StoreBusy:
        mode(SoakStore::Mode::Busy);
        return;
    case Action::StoreSilent:
        mode(SoakStore::Mode::Silent);
        return;
    case Action::StoreResetting:
        mode(SoakStore::Mode::Resetting);
        return;
    case Action::StoreForgets:
        m_store->forgetHistory();
        return;
    case Action::StoreLinkSilent:
        linkFault.losesForward = true;
        linkFault.losesBackward = true;
        break;
    case Action::StoreLinkOneWay:
        linkFault.losesBackward = true;
        break;
    default:
        linkFault.delay = Milliseconds(300);
    }
    link(linkFault);
}

void Soak::replaceUpstream(SoakUpstream &upstream)
{
    upstream.beginLeaving();
    m_loop.after(drainTime, [this, &upstream] {
        upstream.end();
        m_loop.after(replacePause, [this, &upstream] {
            upstream.start(freshId());
        });
    });
}

void Soak::beginUpstreamFault(const Fault &fault)
{
    const std::size_t number = fault.target % m_upstreams.size();
    SoakUpstream &upstream = *m_upstreams[number];
    const bool isEngine = number < m_parameters.engines;
    const auto first = m_upstreams.begin() + static_cast<std::ptrdiff_t>(isEngine ? 0 : m_parameters.engines);
    const auto last
        = isEngine ? m_upstreams.begin() + static_cast<std::ptrdiff_t>(m_parameters.engines) : m_upstreams.end();
    const auto staying = std::count_if(first, last, [](const auto &it) {
        return it->isRunning() && !it->isLeaving();
    });
    if (!upstream.isRunning() || upstream.isLeaving() || static_cast<std::size_t>(staying) <= fewestLeft) {
        return;
    }
    const std::string key = "upstream " + std::to_string(number);
    const auto link = [&](LinkFault linkFault) {
        during(
            fault, key,
            [&upstream, linkFault] {
                upstream.proxy().setFault(linkFault);
            },
            [&upstream] {
                upstream.proxy().setFault({});
            });
    };
    const auto sick = [&](Sickness sickness) {
        during(
            fault, key,
            [&upstream, sickness] {
                upstream.setSickness(sickness);
            },
            [&upstream] {
                upstream.setSickness(Sickness::None);
            });
    };
    LinkFault linkFault;
    switch (fault.action) {
    case Action::ReplaceUpstream:
        replaceUpstream(upstream);
        return;
    case Action::UpstreamLinkSilent:
        linkFault.losesForward = true;
        linkFault.losesBackward = true;
        link(linkFault);
        return;
    case Action::UpstreamLinkOneWay:
        linkFault.losesBackward = true;
        link(linkFault);
        return;
    case Action::UpstreamLinkReset:
        upstream.proxy().resetAll();
        return;
    case Action::UpstreamCrash:
        upstream.crash();
        m_loop.after(lapseTime, [this, &upstream] {
            upstream.end();
            upstream.start(freshId());
        });
        return;
    case Action::UpstreamBreaking:
        sick(Sickness::Breaking);
        return;
    case Action::UpstreamFailing:
        sick(Sickness::Failing);
        return;
    case Action::UpstreamShedding:
        sick(Sickness::Shedding);
        return;
    default:
        sick(Sickness::Hanging);
    }
}

void Soak::superviseGateways()
{
    for (const auto &it : m_gateways) {
        const std::string key = "restart " + it->processName();
        if (!it->isRunning() && m_held.insert(key).second) {
            m_loop.after(restartPause, [&gateway = *it] {
                gateway.start();
            });
        }
    }
    m_loop.after(superviseInterval, [this] {
        superviseGateways();
    });
}

void Soak::finalKill()
{
    for (const auto &it : m_gateways) {
        it->sendSignal(SIGKILL);
    }
    // The processes that have to serve are those of the next start.
    m_loop.after(2 * superviseInterval + restartPause + restartPause, [this] {
        checkServed();
    });
}

void Soak::checkServed()
{
    waitFor(
        "served again, by the newest configuration",
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
            endTraffic();
        });
}

void Soak::endTraffic()
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
            checkLeftOvers();
        });
}

void Soak::checkLeftOvers()
{
    waitFor(
        "all is given back",
        [this] {
            bool isClean = true;
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                isClean = isClean && m_leftOvers[i] == 0.0;
                poll(m_gateways[i]->metricsAddress(), "/metrics", [this, i](int status, const std::string &body) {
                    if (status == 200) {
                        m_leftOvers[i] = gaugeOf(body, "magnolia_gateway_open_requests")
                            + gaugeOf(body, "magnolia_gateway_known_placements");
                    }
                });
            }
            return isClean && std::all_of(m_upstreams.begin(), m_upstreams.end(), [](const auto &it) {
                return it->heldTokens() == 0;
            });
        },
        [this] {
            m_loop.stop();
        });
}

} // namespace magnolia::soak
