// Builds the parts of a gateway instance and joins them.
#include "gateway/gateway.h"

#include "fleet/cells.h"
#include "framework/logging/log.h"
#include "gateway/internal/callerhandler.h"
#include "gateway/internal/controlhandler.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/gatewaystatus.h"
#include "gateway/listener.h"
#include "published/storereader.h"

#include <Poco/Timestamp.h>

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

/** How often a stopping instance looks whether it may end. */
constexpr Milliseconds stopCheckInterval{100};
/** Callers that came this early into a stop are allowed for by the platform: 3 s of a stop of 8 s, less what clocks
 * differ. */
constexpr int strictStopNumerator = 1;
constexpr int strictStopDenominator = 3;
/** Before the end at the latest, so that the last bytes leave. */
constexpr Milliseconds lastBytesTime{350};
/** How often entries that may only have lapsed are looked at. */
constexpr Milliseconds expiryInterval{250};
constexpr std::size_t mostControlConnections = 256;
/** Callers use so many addresses of an answer at most, as published. */
constexpr std::size_t mostAddresses = 64;
/** The product's own path for what the platform's directory answers. */
constexpr std::string_view productLocatePath = "/v1/locate";

std::uint32_t toCount(double value)
{
    return static_cast<std::uint32_t>(std::clamp(value, 0.0, 4e9));
}

} // namespace

struct Gateway::Parts : fleet::IFleetDelegate
{
    Parts(eventloop::EventLoop &theLoop, GatewaySettings theSettings, GatewayPorts thePorts, std::uint64_t seed)
        : loop(theLoop)
        , settings(std::move(theSettings))
        , ports(std::move(thePorts))
        , context(theLoop, settings, seed)
        , state(ports.decoder)
        , reader(theLoop, ports.store, state, seed ^ 1U,
              [this](const auto &effect) {
                  onEffect(effect);
              })
        , callers(context)
        , control([this](std::string_view path) {
            return reply(path);
        })
        , operatorControl([this](std::string_view path) {
            return replyToOperator(path);
        })
    {
        context.writeMemoryOrder = ports.writeMemoryOrder;
        fleet::FleetLinkSettings link;
        link.instance = settings.instance.value();
        link.dataCentre = settings.dataCentre.value();
        link.address = settings.peerAddress;
        link.seeds = settings.seeds;
        link.callerAddress = settings.callerAddress;
        link.incarnation = static_cast<std::uint64_t>(Poco::Timestamp().epochMicroseconds() / 1000);
        context.fleet = std::make_shared<fleet::FleetLink>(loop, link, *this);
    }

    [[nodiscard]] bool isReady() const
    {
        return context.catalogue && state.isComplete() && !context.stopAt;
    }

    [[nodiscard]] fleet::OwnState ownState() const override;
    [[nodiscard]] std::vector<fleet::PlacementRecord> ownPlacements() const override;
    [[nodiscard]] fleet::Snapshot snapshot() const override;
    void onPeerMessage(const fleet::PeerMessage &message) override;
    void onSnapshot(const fleet::Snapshot &snapshot) override;
    void onPeerLost(const std::string &instance) override;

    void onEffect(const published::PublishedState::ChangeFlags &effect);
    /** What anybody may ask: readiness, and which addresses to use. */
    [[nodiscard]] ControlAnswer reply(std::string_view path);
    [[nodiscard]] ControlAnswer replyToOperator(std::string_view path);
    void expire();
    void checkStop(MonoTime begunAt);

    eventloop::EventLoop &loop;
    GatewaySettings settings;
    GatewayPorts ports;
    GatewayContext context;
    published::PublishedState state;
    published::StoreReader reader;
    CallerHandler callers;
    ControlHandler control;
    ControlHandler operatorControl;
    std::vector<std::shared_ptr<Listener>> listeners;
    std::shared_ptr<Listener> callerListener;
    bool wasReady = false;
};

fleet::OwnState Gateway::Parts::ownState() const
{
    return {isReady(), context.stopAt.has_value(), context.catalogue ? context.catalogue->version : 0, state.revision(),
        reader.isConnected(), state.isComplete(), reader.lastAnswerAt()};
}

std::vector<fleet::PlacementRecord> Gateway::Parts::ownPlacements() const
{
    std::vector<fleet::PlacementRecord> notes;
    for (const placement::Placement &it : context.board.placementsOf(settings.instance.value())) {
        notes.push_back({it.id, it.primary, it.helpers, toCount(it.promptTokens), toCount(it.outputTokens),
            static_cast<std::uint32_t>(it.gapTarget.count()), static_cast<std::uint32_t>(it.firstEventTarget.count()),
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, toMilliseconds(loop.now() - it.placedAt).count())),
            it.isLate, it.isDecoding, toCount(it.reservedTokensPerHelper)});
    }
    return notes;
}

fleet::Snapshot Gateway::Parts::snapshot() const
{
    return {state.revision(), state.isComplete(), state.items()};
}

void Gateway::Parts::onPeerMessage(const fleet::PeerMessage &message)
{
    std::vector<placement::Placement> placements;
    placements.reserve(message.placements.size());
    for (const fleet::PlacementRecord &it : message.placements) {
        placements.push_back({it.id, it.primary, it.helpers, static_cast<double>(it.promptTokens),
            static_cast<double>(it.outputTokens), Milliseconds(it.gapTargetMs), loop.now() - Milliseconds(it.ageMs),
            Milliseconds(it.targetMs), it.isLate, it.isDecoding, static_cast<double>(it.reservedTokensPerHelper)});
    }
    if (message.isFullState) {
        context.board.replaceAll(message.instance, placements, loop.now());
    } else {
        for (const placement::Placement &it : placements) {
            context.board.put(message.instance, it, loop.now());
        }
    }
    for (const std::uint64_t id : message.decoding) {
        context.board.setDecoding(id, loop.now());
    }
    for (const fleet::PlacementEnd &it : message.ends) {
        context.board.remove(it.id, loop.now());
        // Faults may concern the callers of one data centre only.
        const auto peer = context.fleet->table().peers().find(message.instance);
        const bool isFromHere
            = peer != context.fleet->table().peers().end() && peer->second.dataCentre == settings.dataCentre.value();
        if (isFromHere && it.evidence <= static_cast<std::uint8_t>(outliers::AttemptOutcome::Refused)) {
            recordEvidence(context, it.upstream, static_cast<outliers::AttemptOutcome>(it.evidence));
        }
    }
}

void Gateway::Parts::onSnapshot(const fleet::Snapshot &snapshot)
{
    published::PublishedState::ChangeFlags effect;
    for (const published::StoreItem &it : snapshot.items) {
        effect.add(state.apply(it, loop.now()));
    }
    if (snapshot.isComplete) {
        state.setComplete(snapshot.revision);
    }
    onEffect(effect);
}

void Gateway::Parts::onPeerLost(const std::string &instance)
{
    context.board.removeOwner(instance, loop.now());
}

void Gateway::Parts::onEffect(const published::PublishedState::ChangeFlags &effect)
{
    if (effect.hasNewConfiguration) {
        context.catalogue = state.configuration();
        logging::write(logging::Level::Info, "gateway", "configuration_in_force",
            {{"version", context.catalogue->version}, {"store_reached", reader.isConnected()}});
    }
    if (effect.hasChangedUpstreams) {
        context.upstreams.rebuild(state.upstreams(), settings.dataCentre);
        const auto leaving = std::count_if(state.upstreams().begin(), state.upstreams().end(), [](const auto &it) {
            return it.second.entry.isLeaving;
        });
        logging::write(logging::Level::Info, "gateway", "upstreams_changed",
            {{"known", std::uint64_t{context.upstreams.size()}}, {"leaving", std::int64_t{leaving}},
                {"revision", state.revision()}});
    }
    if (effect.hasNewConfiguration || effect.hasChangedUpstreams) {
        forgetUnpublished(context);
    }
    const bool isReadyNow = isReady();
    if (isReadyNow != wasReady) {
        logging::write(logging::Level::Info, "gateway", isReadyNow ? "ready" : "not_ready", {});
    }
    if (isReadyNow != wasReady || effect.hasNewConfiguration || effect.hasChangedUpstreams) {
        wasReady = isReadyNow;
        context.fleet->sendFullState();
    }
}

ControlAnswer Gateway::Parts::reply(std::string_view path)
{
    if (path == settings.paths.ready) {
        return {isReady() ? 200 : 503, {}, {}};
    }
    if (path == settings.paths.locate || path == productLocatePath) {
        std::vector<std::string> addresses = context.fleet->table().callerAddresses(loop.now());
        if (isReady()) {
            addresses.push_back(settings.callerAddress);
        }
        if (addresses.empty()) {
            return {503, {}, {}};
        }
        addresses = fleet::sampleAddresses(std::move(addresses), mostAddresses, context.random);
        return {200, "application/json", ports.writeLocateAnswer(addresses, settings.locateTtl)};
    }
    return {404, {}, {}};
}

ControlAnswer Gateway::Parts::replyToOperator(std::string_view path)
{
    if (path == "/status") {
        const std::string_view word = isReady() ? "ready" : context.stopAt ? "stopping" : "starting";
        return {200, "application/json",
            statusJson(context, state, {word, reader.isConnected(), callerListener->busyConnections()})};
    }
    if (path == "/metrics") {
        return {200, "text/plain; version=0.0.4", context.metrics.expose()};
    }
    return reply(path);
}

void Gateway::Parts::expire()
{
    if (const auto effect = state.removeExpired(loop.now()); effect.hasChangedUpstreams) {
        onEffect(effect);
    }
    loop.after(expiryInterval, [this] {
        expire();
    });
}

void Gateway::Parts::checkStop(MonoTime begunAt)
{
    const MonoTime now = loop.now();
    const std::size_t busy = callerListener->busyConnections();
    const bool isStrict = now >= context.strictStopFrom;
    if (isStrict) {
        // Whoever still knows this address only by an old answer of the directory finds at once that it is gone, and
        // goes elsewhere; a refusal would bring it back here.
        callerListener->stopAccepting();
        callerListener->closeIdle();
    }
    if ((isStrict && busy == 0) || now >= *context.stopAt - lastBytesTime) {
        logging::write(logging::Level::Info, "gateway", "stopped",
            {{"open_requests", std::uint64_t{busy}},
                {"after_ms", std::int64_t{toMilliseconds(now - begunAt).count()}}});
        callerListener->stopAccepting();
        callerListener->closeIdle();
        loop.after(lastBytesTime / 2, [this] {
            loop.stop();
        });
        return;
    }
    loop.after(stopCheckInterval, [this, begunAt] {
        checkStop(begunAt);
    });
}

Gateway::Gateway(eventloop::EventLoop &loop, GatewaySettings settings, GatewayPorts ports, std::uint64_t seed)
    : m_parts(std::make_unique<Parts>(loop, std::move(settings), std::move(ports), seed))
{
}

Gateway::~Gateway() = default;

Result<void> Gateway::start()
{
    Parts &parts = *m_parts;
    parts.callerListener = std::make_shared<Listener>(parts.loop, parts.callers, parts.settings.maxConnections);
    if (auto started = parts.callerListener->listen(parts.settings.callerAddress); !started) {
        return started;
    }
    const std::vector<std::pair<std::string, ControlHandler *>> addresses{
        {parts.settings.readinessAddress, &parts.control}, {parts.settings.directoryAddress, &parts.control},
        {parts.settings.metricsAddress, &parts.operatorControl}};
    for (const auto &[address, handler] : addresses) {
        if (address.empty()) {
            continue;
        }
        auto listener = std::make_shared<Listener>(parts.loop, *handler, mostControlConnections);
        if (auto started = listener->listen(address); !started) {
            return started;
        }
        parts.listeners.push_back(std::move(listener));
    }
    if (auto started = parts.context.fleet->start(); !started) {
        return started;
    }
    parts.reader.start();
    parts.expire();
    parts.context.metrics.setGauge("magnolia_gateway_open_requests", [&parts] {
        return static_cast<double>(parts.callerListener->busyConnections());
    });
    parts.context.metrics.setGauge("magnolia_gateway_known_placements", [&parts] {
        return static_cast<double>(parts.context.board.size());
    });
    parts.context.metrics.setGauge("magnolia_gateway_store_calls", [&parts] {
        return static_cast<double>(parts.reader.callCount());
    });
    logging::write(logging::Level::Info, "gateway", "started",
        {{"caller_address", std::string_view(parts.settings.callerAddress)},
            {"seeds", std::uint64_t{parts.settings.seeds.size()}}});
    return {};
}

void Gateway::beginStop()
{
    Parts &parts = *m_parts;
    if (parts.context.stopAt) {
        return;
    }
    const MonoTime now = parts.loop.now();
    parts.context.stopAt = now + parts.settings.stopGracePeriod;
    parts.context.strictStopFrom = now + parts.settings.stopGracePeriod * strictStopNumerator / strictStopDenominator;
    logging::write(logging::Level::Info, "gateway", "stopping",
        {{"open_requests", std::uint64_t{parts.callerListener->busyConnections()}}});
    parts.onEffect({});
    parts.context.fleet->sendFullState();
    parts.checkStop(now);
}

} // namespace magnolia::gateway
