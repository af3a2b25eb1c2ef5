// Starts the gateways and cuts their links.
#include "gatewayfleet.h"

#include "gatewayfixture.h"

#include "gateway/gateway.h"

#include <Poco/Net/SocketAddress.h>

#include <algorithm>

namespace magnolia::gateway::tests
{

namespace
{

constexpr Milliseconds checkInterval{2};
constexpr Milliseconds startLimit{5000};

const std::string evacuationPrefix = "evacuate ";

/** Returns the configuration "c", the upstreams "0", "1" and so on, and what was written since. */
class FixedStore : public published::IStoreClient
{
public:
    FixedStore(eventloop::EventLoop &loop, std::size_t upstreamCount)
        : m_loop(loop)
    {
        m_page.items.push_back({"c", {}, 1, false});
        for (std::size_t i = 0; i < upstreamCount; ++i) {
            m_page.items.push_back({std::to_string(i), {}, i + 2, false});
        }
        m_page.position = {0, upstreamCount + 2};
    }

    void write(const std::string &key, bool isDeleted)
    {
        ++m_page.position.revision;
        const published::StoreItem item{key, {}, m_page.position.revision, isDeleted};
        std::erase_if(m_page.items, [&](const published::StoreItem &it) {
            return it.key == key;
        });
        if (!isDeleted) {
            m_page.items.push_back(item);
        }
        m_changes.push_back(item);
        answerWatch();
    }
    void setRefusing(bool isRefusing)
    {
        m_isRefusing = isRefusing;
        answerWatch();
    }

    void readPage(const std::string & /*afterKey*/, std::function<void(Result<published::StorePage>)> done) override
    {
        m_loop.after(Milliseconds(1), [this, done = std::move(done)] {
            if (m_isRefusing) {
                done(refusal());
            } else {
                done(m_page);
            }
        });
    }
    void watch(std::uint64_t revision, Milliseconds /*wait*/,
        std::function<void(Result<published::StoreChanges>)> done) override
    {
        m_watchedRevision = revision;
        m_watch = std::move(done);
        answerWatch();
    }
    void cancelWatch() override
    {
        m_watch = nullptr;
    }
    void check(std::uint64_t revision, std::function<void(Result<published::StoreChanges>)> done) override
    {
        m_loop.after(Milliseconds(1), [this, revision, done = std::move(done)] {
            if (m_isRefusing) {
                done(refusal());
            } else {
                done(changesAfter(revision));
            }
        });
    }

private:
    static tl::unexpected<Error> refusal()
    {
        return makeError(ResultCode::PeerUnreachable, "refused");
    }
    [[nodiscard]] published::StoreChanges changesAfter(std::uint64_t revision) const
    {
        published::StoreChanges changes{{}, m_page.position, false};
        for (const published::StoreItem &it : m_changes) {
            if (it.revision > revision) {
                changes.items.push_back(it);
            }
        }
        return changes;
    }
    void answerWatch()
    {
        if (!m_watch || (!m_isRefusing && changesAfter(m_watchedRevision).items.empty())) {
            return;
        }
        m_loop.after(Milliseconds(1), [this] {
            if (const auto done = std::move(m_watch)) {
                m_watch = nullptr;
                if (m_isRefusing) {
                    done(refusal());
                } else {
                    done(changesAfter(m_watchedRevision));
                }
            }
        });
    }

    eventloop::EventLoop &m_loop;
    published::StorePage m_page;
    std::vector<published::StoreItem> m_changes;
    std::function<void(Result<published::StoreChanges>)> m_watch;
    std::uint64_t m_watchedRevision = 0;
    bool m_isRefusing = false;
};

catalogue::Route makeRoute(const std::string &name, catalogue::RouteKind kind, const std::string &service)
{
    catalogue::Route route;
    route.name = name;
    route.host = "h";
    route.prefix = '/' + name + '/';
    route.kind = kind;
    route.destinations = {{service, 1}};
    route.latencyTarget = Milliseconds(300);
    route.gapTarget = Milliseconds(250);
    route.maxAttempts = 2;
    route.isResumable = kind == catalogue::RouteKind::Stream;
    return route;
}

} // namespace

void FleetCaller::onInput()
{
    received.append(stream->input());
    stream->input().clear();
}

void FleetCaller::onEnd(eventloop::StreamEnd /*end*/)
{
    hasEnded = true;
    stream->close();
}

int FleetCaller::status() const
{
    constexpr std::size_t statusAt = 9;
    return received.size() < statusAt ? 0 : std::atoi(received.c_str() + statusAt);
}

std::string FleetCaller::body() const
{
    const std::size_t at = received.find("\r\n\r\n");
    std::string text = at == std::string::npos ? std::string() : received.substr(at + 4);
    if (received.find("Transfer-Encoding: chunked") == std::string::npos) {
        return text;
    }
    std::string joined;
    while (!text.empty()) {
        const std::size_t lineEnd = text.find("\r\n");
        const std::size_t size = std::stoul(text, nullptr, 16);
        joined += text.substr(lineEnd + 2, size);
        text.erase(0, std::min(text.size(), lineEnd + 2 + size + 2));
    }
    return joined;
}

bool FleetCaller::isComplete() const
{
    const std::size_t at = received.find("\r\n\r\n");
    if (at == std::string::npos) {
        return false;
    }
    if (received.find("Transfer-Encoding: chunked") < at) {
        return received.ends_with("0\r\n\r\n");
    }
    const std::string length = headerField(received.substr(0, at + 2), "Content-Length");
    return !length.empty() && received.size() - at - 4 >= std::stoul(length);
}

/** Decodes the fixed items with the addresses by which one gateway reaches the upstreams. */
struct GatewayFleet::Instance : published::IItemDecoder
{
    ItemKind kindOf(const std::string &key) const override
    {
        if (key.starts_with(evacuationPrefix)) {
            return ItemKind::Evacuation;
        }
        return key == "c" ? ItemKind::Configuration : ItemKind::Upstream;
    }
    DataCentreId evacuatedDataCentre(const std::string &key) const override
    {
        return DataCentreId(key.substr(evacuationPrefix.size()));
    }
    std::string evacuationKey(const DataCentreId &dataCentre) const override
    {
        return evacuationPrefix + dataCentre.value();
    }
    std::optional<catalogue::Catalogue> decodeConfiguration(const published::StoreItem & /*item*/) const override
    {
        catalogue::Catalogue result;
        result.version = 1;
        catalogue::Service &app = result.services["app"];
        app.name = "app";
        app.coldRequestsPerSecond = coldRequestsPerSecond;
        app.coldTime = Milliseconds(coldRequestsPerSecond > 0 ? 3000 : 0);
        catalogue::Service &engineService = result.services["engine"];
        engineService.name = "engine";
        catalogue::EngineModel engine;
        engine.slots = 16;
        engine.kvCapacityTokens = 100'000;
        engine.prefillTokensPerMs = 1000;
        engine.chunkTokens = 2048;
        engineService.engine = engine;
        result.routesByHost["h"] = {makeRoute("once", catalogue::RouteKind::AtMostOnce, "app"),
            makeRoute("safe", catalogue::RouteKind::Idempotent, "app"),
            makeRoute("stream", catalogue::RouteKind::Stream, "engine")};
        for (catalogue::Route &it : result.routesByHost["h"]) {
            if (it.name != "safe") {
                it.homes = homes;
            }
            it.timeout = routeTimeout;
        }
        return result;
    }
    std::optional<catalogue::UpstreamEntry> decodeUpstream(const published::StoreItem &item) const override
    {
        const std::size_t index = std::stoul(item.key);
        catalogue::UpstreamEntry result;
        result.id = UpstreamId("u" + item.key);
        result.service = services[index];
        result.address = upstreams[index]->address();
        const std::string &dataCentre = upstreamDataCentres[index];
        result.dataCentre = dataCentre.empty() ? settings.dataCentre : DataCentreId(dataCentre);
        result.slots = 16;
        return result;
    }

    GatewaySettings settings;
    double coldRequestsPerSecond = 0;
    Milliseconds routeTimeout{4000};
    std::vector<std::string> services;
    std::vector<std::string> upstreamDataCentres;
    std::vector<RegionId> homes;
    std::vector<std::shared_ptr<ScriptedUpstream>> upstreams;
    std::unique_ptr<FixedStore> store;
    std::unique_ptr<Gateway> gateway;
    Cut cut = Cut::Refusing;
};

GatewayFleet::GatewayFleet(const std::vector<std::string> &dataCentres)
{
    const GatewayFixture names;
    std::vector<fleet::PeerAddress> peers;
    for (const std::string &it : dataCentres) {
        auto instance = std::make_unique<Instance>();
        GatewaySettings &settings = instance->settings;
        settings = names.settings;
        settings.instance = InstanceId("g" + std::to_string(m_instances.size()));
        settings.dataCentre = DataCentreId(it);
        settings.callerAddress = unusedAddress().toString();
        settings.directoryAddress = unusedAddress().toString();
        settings.metricsAddress = unusedAddress().toString();
        const Poco::Net::SocketAddress peerAddress = unusedAddress();
        settings.peerAddress = {peerAddress.host().toString(), peerAddress.port()};
        settings.relayAddress = unusedAddress().toString();
        settings.paths.locate = "/locate";
        // The instances count as ones that have run for a window of the retry budget.
        settings.retryWindow = Milliseconds(0);
        settings.paths.locateHost = "Host";
        settings.paths.locateRegion = "Region";
        settings.paths.locateDataCentre = "Data-Centre";
        peers.push_back(settings.peerAddress);
        m_instances.push_back(std::move(instance));
    }
    for (const auto &it : m_instances) {
        it->settings.seeds = peers;
    }
}

GatewayFleet::~GatewayFleet()
{
    for (const auto &it : m_instances) {
        it->gateway.reset();
    }
}

void GatewayFleet::addUpstream(
    const std::string &service, const ScriptedUpstream::Script &script, const std::string &dataCentre)
{
    m_services.push_back(service);
    m_upstreamDataCentres.push_back(dataCentre);
    for (const auto &it : m_instances) {
        it->services = m_services;
        it->upstreamDataCentres = m_upstreamDataCentres;
        it->upstreams.push_back(std::make_shared<ScriptedUpstream>(loop, script));
        it->upstreams.back()->listen();
    }
}

void GatewayFleet::setColdBudget(double requestsPerSecond)
{
    for (const auto &it : m_instances) {
        it->coldRequestsPerSecond = requestsPerSecond;
        it->settings.coldRatio = 1.5;
        it->settings.coldSlack = 5;
        it->settings.names.upstreamCold = "Cold";
    }
}

void GatewayFleet::setLocateTtl(Milliseconds ttl)
{
    for (const auto &it : m_instances) {
        it->settings.locateTtl = ttl;
    }
}

void GatewayFleet::setRouteTimeout(Milliseconds timeout)
{
    for (const auto &it : m_instances) {
        it->routeTimeout = timeout;
    }
}

void GatewayFleet::setHomes(const std::vector<std::string> &regions)
{
    for (const auto &it : m_instances) {
        it->homes.clear();
        for (const std::string &region : regions) {
            it->homes.emplace_back(region);
        }
    }
}

void GatewayFleet::setRegions(const std::map<std::string, std::string> &regionByDataCentre)
{
    for (const auto &it : m_instances) {
        for (const auto &[dataCentre, region] : regionByDataCentre) {
            it->settings.regions[DataCentreId(dataCentre)] = RegionId(region);
        }
        const auto own = it->settings.regions.find(it->settings.dataCentre);
        it->settings.region = own == it->settings.regions.end() ? RegionId() : own->second;
    }
}

void GatewayFleet::start()
{
    std::uint64_t seed = 3;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        const auto &it = m_instances[i];
        eventloop::EventLoop &ownLoop = m_firstLosable && i >= *m_firstLosable ? m_losableLoop : loop;
        it->store = std::make_unique<FixedStore>(ownLoop, m_services.size());
        const auto writeAddresses = [](const std::vector<std::string> &addresses, Milliseconds) {
            std::string text;
            for (const std::string &address : addresses) {
                text += address + ' ';
            }
            return text;
        };
        it->gateway = std::make_unique<Gateway>(
            ownLoop, it->settings, GatewayDependencies{*it->store, *it, writeAddresses, nullptr}, seed++);
        if (!it->gateway->start()) {
            throw std::runtime_error("a gateway did not start");
        }
    }
    const bool isStarted = runUntil(
        [&] {
            return std::all_of(m_instances.begin(), m_instances.end(), [&](const auto &it) {
                const std::string addresses = get(it->settings.directoryAddress, "/locate");
                return std::all_of(m_instances.begin(), m_instances.end(), [&](const auto &other) {
                    return addresses.find(other->settings.callerAddress) != std::string::npos;
                });
            });
        },
        startLimit);
    if (!isStarted) {
        throw std::runtime_error("the gateways did not find each other");
    }
}

void GatewayFleet::cut(std::size_t gateway, Cut cut)
{
    m_instances[gateway]->cut = cut;
    for (const auto &it : m_instances[gateway]->upstreams) {
        if (cut == Cut::Hanging) {
            it->setHanging(true);
            continue;
        }
        if (cut == Cut::Closing) {
            it->setClosing(true);
            continue;
        }
        it->stopListening();
        if (cut == Cut::Reset) {
            it->resetConnections();
        }
    }
}

void GatewayFleet::setEvacuated(const std::string &dataCentre, bool isEvacuated)
{
    for (const auto &it : m_instances) {
        it->store->write(evacuationPrefix + dataCentre, !isEvacuated);
    }
}

void GatewayFleet::setLosable(std::size_t first)
{
    m_firstLosable = first;
}

void GatewayFleet::loseMachines()
{
    m_hasLostMachines = true;
}

void GatewayFleet::setStoreRefusing(std::size_t gateway, bool isRefusing)
{
    m_instances[gateway]->store->setRefusing(isRefusing);
}

std::string GatewayFleet::metrics(std::size_t gateway)
{
    return get(m_instances[gateway]->settings.metricsAddress, "/metrics");
}

void GatewayFleet::restore(std::size_t gateway)
{
    for (const auto &it : m_instances[gateway]->upstreams) {
        if (m_instances[gateway]->cut == Cut::Hanging) {
            it->setHanging(false);
        } else if (m_instances[gateway]->cut == Cut::Closing) {
            it->setClosing(false);
        } else {
            it->resumeListening();
        }
    }
}

void GatewayFleet::crash(std::size_t index)
{
    for (const auto &it : m_instances) {
        it->upstreams[index]->stopListening();
        it->upstreams[index]->resetConnections();
    }
}

void GatewayFleet::beginStop(std::size_t gateway)
{
    m_instances[gateway]->gateway->beginStop();
}

std::shared_ptr<FleetCaller> GatewayFleet::send(std::size_t gateway, const std::string &id, const std::string &path,
    const std::string &moreFields, const std::string &deadlineMs, const std::string &body)
{
    auto caller = std::make_shared<FleetCaller>();
    caller->stream = eventloop::TcpStream::connect(loop, callerAddress(gateway), *caller, {});
    caller->stream->write("POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline: " + deadlineMs
        + "\r\n" + moreFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    m_callers.push_back(caller);
    return caller;
}

bool GatewayFleet::runUntil(const std::function<bool()> &isDone, Milliseconds time)
{
    const MonoTime begunAt = eventloop::EventLoop::readClock();
    while (!isDone()) {
        if (eventloop::EventLoop::readClock() - begunAt > time) {
            return false;
        }
        runFor(checkInterval);
    }
    return true;
}

void GatewayFleet::runFor(Milliseconds time)
{
    const auto runLoop = [](eventloop::EventLoop &it, Milliseconds slice) {
        // Deferred, since a loop that has not run for some time counts from then on.
        it.defer([&it, slice] {
            it.after(slice, [&it] {
                it.stop();
            });
        });
        it.run();
    };
    const MonoTime endAt = eventloop::EventLoop::readClock() + time;
    while (m_firstLosable && !m_hasLostMachines && eventloop::EventLoop::readClock() < endAt) {
        runLoop(loop, Milliseconds(1));
        runLoop(m_losableLoop, Milliseconds(1));
    }
    if (const auto left = toMilliseconds(endAt - eventloop::EventLoop::readClock()); left > Milliseconds(0)) {
        runLoop(loop, left);
    }
}

std::shared_ptr<FleetCaller> GatewayFleet::run(
    std::size_t gateway, const std::string &id, const std::string &path, const std::string &moreFields)
{
    auto caller = send(gateway, id, path, moreFields);
    runUntil([&] {
        return caller->isComplete() || caller->hasEnded;
    });
    return caller;
}

std::string GatewayFleet::get(const std::string &address, const std::string &path)
{
    FleetCaller client;
    client.stream = eventloop::TcpStream::connect(loop, address, client, {});
    client.stream->write("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
    const MonoTime begunAt = eventloop::EventLoop::readClock();
    while (
        !client.isComplete() && !client.hasEnded && eventloop::EventLoop::readClock() - begunAt < Milliseconds(1000)) {
        runFor(checkInterval);
    }
    client.stream->close();
    return client.body();
}

nlohmann::json GatewayFleet::status(std::size_t gateway)
{
    return nlohmann::json::parse(get(m_instances[gateway]->settings.metricsAddress, "/status"), nullptr, false);
}

std::string GatewayFleet::callerAddresses(std::size_t gateway, const std::string &query)
{
    return get(m_instances[gateway]->settings.directoryAddress, "/locate" + query);
}

std::string GatewayFleet::callerAddress(std::size_t gateway) const
{
    return m_instances[gateway]->settings.callerAddress;
}

std::string GatewayFleet::peerAddress(std::size_t gateway) const
{
    const fleet::PeerAddress &address = m_instances[gateway]->settings.peerAddress;
    return address.ip + ':' + std::to_string(address.port);
}

ScriptedUpstream &GatewayFleet::upstream(std::size_t gateway, std::size_t index)
{
    return *m_instances[gateway]->upstreams[index];
}

std::size_t GatewayFleet::requestCount(std::size_t gateway) const
{
    std::size_t count = 0;
    for (const auto &it : m_instances[gateway]->upstreams) {
        count += it->requests.size();
    }
    return count;
}

} // namespace magnolia::gateway::tests
