// Creates and connects the components of a gateway instance.
#include "gateway/gateway.h"

#include "catalogue/homes.h"
#include "fleet/cells.h"
#include "framework/logging/log.h"
#include "gateway/internal/callerhandler.h"
#include "gateway/internal/coldupstreams.h"
#include "gateway/internal/controlhandler.h"
#include "gateway/internal/crashmonitor.h"
#include "gateway/internal/evacuationrecord.h"
#include "gateway/internal/evacuations.h"
#include "gateway/internal/extensionhandlers.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/gatewaystatus.h"
#include "gateway/internal/locatequery.h"
#include "gateway/internal/pathmonitor.h"
#include "gateway/internal/relayhandler.h"
#include "gateway/internal/storeparameters.h"
#include "gateway/internal/upstreamsignals.h"
#include "gateway/listener.h"
#include "published/storereader.h"

#include <Poco/Timestamp.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace magnolia::gateway
{

namespace
{

/** Interval at which a stopping instance checks whether it may end. */
constexpr Milliseconds stopCheckInterval{100};
/** Serving ends at least this long before the stop deadline, so that the last bytes are sent. */
constexpr Milliseconds finalFlushTime{350};
/** Interval at which store entries that were removed, perhaps only for a moment, are checked for expiry. */
constexpr Milliseconds expiryCheckInterval{250};
constexpr std::size_t maxControlConnections = 256;
/** Published maximum number of addresses that callers use from one response. */
constexpr std::size_t maxLocateAddresses = 64;
/** The product's own path for the platform's directory request. */
constexpr std::string_view productLocatePath = "/v1/locate";

/** Evacuations above which none is learnt from extension records; a fleet has a few data centres. */
constexpr std::size_t maxEvacuationsFromPeers = 64;
/** Sources of changes of the published state in the log. */
constexpr std::string_view toldByStore = "store";
constexpr std::string_view toldByPeer = "peer";

/** Upstreams that one line of the log names for each kind of change. */
constexpr std::size_t maxLoggedUpstreams = 16;

std::vector<std::string> firstIds(const std::vector<std::string> &ids)
{
    return {ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(std::min(ids.size(), maxLoggedUpstreams))};
}

std::uint32_t toUint32(double value)
{
    return static_cast<std::uint32_t>(std::clamp(value, 0.0, 4e9));
}

} // namespace

struct Gateway::Parts : fleet::IFleetDelegate
{
    Parts(eventloop::EventLoop &theLoop, GatewaySettings theSettings, GatewayDependencies theDependencies,
        std::uint64_t seed)
        : loop(theLoop)
        , settings(std::move(theSettings))
        , dependencies(std::move(theDependencies))
        , context(theLoop, settings, seed)
        , publishedState(dependencies.decoder, publishedStateParameters(settings))
        , storeReader(theLoop, dependencies.store, publishedState, seed ^ 1U,
              {[this](const auto &changes) {
                   onPublishedStateChanged(changes);
               },
                  [this] {
                      context.fleet->announceStoreCheck();
                  },
                  [this] {
                      return knownInstanceCount();
                  }},
              storeReaderParameters(settings))
        , callerHandler(context)
        , relayHandler(callerHandler)
        , controlHandler([this](std::string_view path, std::string_view query) {
            return respond(path, query);
        })
        , operatorHandler([this](std::string_view path, std::string_view query) {
            return respondToOperator(path, query);
        })
    {
        context.writeMemoryOrder = dependencies.writeMemoryOrder;
        addExtensionHandlers();
        fleet::FleetLinkSettings linkSettings;
        linkSettings.instance = settings.instance.value();
        linkSettings.dataCentre = settings.dataCentre.value();
        linkSettings.address = settings.peerAddress;
        linkSettings.seeds = settings.seeds;
        linkSettings.callerAddress = settings.callerAddress;
        linkSettings.relayAddress = settings.relayAddress;
        linkSettings.incarnation = static_cast<std::uint64_t>(Poco::Timestamp().epochMicroseconds() / 1000);
        linkSettings.capabilities = extensionHandlers.capabilities();
        linkSettings.peerTable.maxNamedSilence = settings.maxNamedSilence;
        context.fleet = std::make_shared<fleet::FleetLink>(loop, linkSettings, *this);
        context.path->setPartitionListener([this] {
            onPartitionChanged();
        });
    }

    [[nodiscard]] bool isReady() const
    {
        return context.catalogue && publishedState.isComplete() && !context.stopDeadline;
    }

    /** Number of live instances; before this instance has a state, also those whose addresses it knows. */
    [[nodiscard]] std::size_t knownInstanceCount() const
    {
        const std::size_t live = context.fleet->table().liveInstanceCount(loop.now());
        return publishedState.isComplete() ? live
                                           : std::max(live, context.fleet->table().targets(loop.now()).size() + 1);
    }

    [[nodiscard]] fleet::OwnState ownState() const override;
    [[nodiscard]] std::vector<fleet::PlacementRecord> ownPlacements() const override;
    [[nodiscard]] std::vector<fleet::QuarantineRecord> ownQuarantine() const override;
    [[nodiscard]] fleet::Snapshot snapshot() const override;
    void onPeerMessage(const fleet::PeerMessage &message) override;
    void onSnapshot(const fleet::Snapshot &snapshot) override;
    void onStoreConfirmed(const published::StorePosition &position, MonoTime at) override;
    void onPeerLost(const std::string &instance) override;
    [[nodiscard]] std::vector<fleet::ExtensionRecord> ownExtensionRecords() const override;
    void onExtensionRecords(const std::string &instance, const std::vector<fleet::ExtensionRecord> &records) override;
    void onRejected(fleet::RejectReason reason) override;
    void onDatagramSent(std::uint8_t format, std::size_t bytes) override;

    void onEvacuationRecord(const std::string &instance, const fleet::ExtensionRecord &record);
    /** Tells peers of a change of evacuations, which the snapshots of earlier builds do not include. */
    void announceEvacuations();
    /** Adds the parts that exchange extension records with peers. */
    void addExtensionHandlers();
    /** Tells peers and the requests in progress whether this instance can reach upstreams. */
    void onPartitionChanged();
    [[nodiscard]] std::size_t openRequestCount() const;
    /** `toldBy` is the source of the changes: the store or a peer. */
    void onPublishedStateChanged(
        const published::PublishedState::ChangeFlags &changes, std::string_view toldBy = toldByStore);
    void logUpstreamsChanged(const UpstreamIndex::Difference &difference, std::string_view toldBy) const;
    /** Responds to requests that need no operator access: readiness and caller addresses. */
    [[nodiscard]] ControlResponse respond(std::string_view path, std::string_view query);
    [[nodiscard]] ControlResponse respondToOperator(std::string_view path, std::string_view query);
    /** Returns the addresses that the directory names for a question. */
    /** `isNamed` tells whether this instance belongs to the answer of the directory. */
    [[nodiscard]] fleet::OwnReach ownReach(bool isNamed) const;
    /** Logs when the directory begins or ends to name silent peers. */
    void logContact();
    [[nodiscard]] std::vector<std::string> locate(std::string_view query) const;
    /** Returns the addresses of ready instances in `regions`, or of all ready instances if it is null. */
    [[nodiscard]] std::vector<std::string> readyAddresses(const std::vector<RegionId> *regions) const;
    /** Accepts the callers and directory requests that have connected since the start. */
    void openToCallers();
    void expireEntries();
    void checkStop(MonoTime stopStartedAt);
    /** Closes the ports and the idle connections of callers and peers. */
    void stopAccepting();

    eventloop::EventLoop &loop;
    GatewaySettings settings;
    GatewayDependencies dependencies;
    GatewayContext context;
    published::PublishedState publishedState;
    published::StoreReader storeReader;
    ExtensionHandlers extensionHandlers;
    CallerHandler callerHandler;
    RelayHandler relayHandler;
    ControlHandler controlHandler;
    ControlHandler operatorHandler;
    std::vector<std::shared_ptr<Listener>> listeners;
    std::shared_ptr<Listener> callerListener;
    // Null if this instance takes no relayed requests.
    std::shared_ptr<Listener> relayListener;
    std::shared_ptr<Listener> directoryListener;
    bool wasReady = false;
    // Whether the directory named silent peers when it was last asked.
    bool wasContactLost = false;
    // Whether all runs of upstreams were known before the current change, so that a new one has just started.
    bool areRunsComplete = false;
};

fleet::OwnState Gateway::Parts::ownState() const
{
    return {isReady(), context.stopDeadline.has_value(), context.path->detector().isPartitioned(),
        context.catalogue ? context.catalogue->version : 0, publishedState.position(), storeReader.isConnected(),
        publishedState.isComplete(), storeReader.lastAnswerAt(), storeReader.confirmedAt()};
}

std::vector<fleet::PlacementRecord> Gateway::Parts::ownPlacements() const
{
    std::vector<fleet::PlacementRecord> records;
    for (const placement::Placement &it : context.placements.placementsOf(settings.instance.value())) {
        records.push_back({it.id, it.primary, it.helpers, toUint32(it.promptTokens), toUint32(it.outputTokens),
            static_cast<std::uint32_t>(it.gapTarget.count()), static_cast<std::uint32_t>(it.firstEventLimit.count()),
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, toMilliseconds(loop.now() - it.placedAt).count())),
            false, it.isDecoding, toUint32(it.reservedTokensPerHelper)});
    }
    return records;
}

std::vector<fleet::QuarantineRecord> Gateway::Parts::ownQuarantine() const
{
    return context.crashes->quarantineRecords();
}

fleet::Snapshot Gateway::Parts::snapshot() const
{
    return {publishedState.position(), publishedState.isComplete(), publishedState.items()};
}

void Gateway::Parts::onPeerMessage(const fleet::PeerMessage &message)
{
    std::vector<placement::Placement> placements;
    placements.reserve(message.placements.size());
    for (const fleet::PlacementRecord &it : message.placements) {
        placements.push_back({it.id, it.primary, it.helpers, static_cast<double>(it.promptTokens),
            static_cast<double>(it.outputTokens), Milliseconds(it.gapTargetMs), loop.now() - Milliseconds(it.ageMs),
            Milliseconds(it.firstEventLimitMs), it.isDecoding, static_cast<double>(it.reservedTokensPerHelper)});
    }
    if (message.isFullState) {
        context.placements.replaceAll(message.instance, placements, loop.now());
    } else {
        for (const placement::Placement &it : placements) {
            context.placements.put(message.instance, it, loop.now());
            countRequest(context, it.primary);
            context.cold->recordPeerRequest(it.primary);
        }
    }
    for (const std::uint64_t id : message.decoding) {
        context.placements.setDecoding(id, loop.now());
    }
    for (const fleet::LeavingUpstream &it : message.leaving) {
        if (context.upstreams.markLeaving(it.upstream, it.startedAt)) {
            logging::write(logging::Level::Info, "gateway", "upstream_leaving",
                {{"upstream", std::string_view(context.upstreams.idOf(it.upstream))},
                    {"told_by", std::string_view(message.instance)}});
        }
    }
    for (const fleet::UpstreamLimit &it : message.limits) {
        const KnownUpstream *known = context.upstreams.find(it.upstream);
        const auto limit = it.isLimited ? std::optional(it.requestsPerSecond) : std::nullopt;
        if (known != nullptr && known->entry.startedAt == it.startedAt && std::isfinite(it.requestsPerSecond)
            && context.pressure.setLimit(it.upstream, it.startedAt, limit, loop.now())) {
            logging::write(logging::Level::Info, "gateway", "upstream_limited",
                {{"upstream", std::string_view(known->entry.id.value())}, {"per_second", it.requestsPerSecond},
                    {"limited", it.isLimited}, {"told_by", std::string_view(message.instance)}});
        }
    }
    for (const fleet::CrashRecord &it : message.crashes) {
        context.crashes->onPeerCrash(it, message.instance);
    }
    if (!message.succeeded.empty()) {
        context.crashes->onPeerSuccess(message.succeeded);
    }
    for (const fleet::QuarantineRecord &it : message.quarantine) {
        context.crashes->onPeerQuarantine(it, message.instance);
    }
    for (const fleet::PlacementEnd &it : message.ends) {
        context.placements.remove(it.id, loop.now());
        // A fault may affect the requests of one data centre only, so evidence from other data centres is ignored.
        const auto peer = context.fleet->table().peers().find(message.instance);
        const bool isInOwnDataCentre
            = peer != context.fleet->table().peers().end() && peer->second.dataCentre == settings.dataCentre.value();
        if (isInOwnDataCentre && !message.isPartitioned
            && it.outcome <= static_cast<std::uint8_t>(outliers::AttemptOutcome::Refused)) {
            recordAttemptOutcome(
                context, it.upstream, static_cast<outliers::AttemptOutcome>(it.outcome), message.instance);
            if (it.outcome == static_cast<std::uint8_t>(outliers::AttemptOutcome::Unreachable)) {
                context.cold->onUnreachable(it.upstream);
            }
        }
    }
}

void Gateway::Parts::onSnapshot(const fleet::Snapshot &snapshot)
{
    published::PublishedState::ChangeFlags changes;
    for (const published::StoreItem &it : snapshot.items) {
        changes.add(publishedState.apply(it, loop.now()));
    }
    if (snapshot.isComplete) {
        publishedState.setComplete(snapshot.position);
    }
    onPublishedStateChanged(changes, toldByPeer);
}

void Gateway::Parts::onStoreConfirmed(const published::StorePosition &position, MonoTime at)
{
    storeReader.onPeerConfirmation(position, at);
}

void Gateway::Parts::onPeerLost(const std::string &instance)
{
    context.placements.removeOwner(instance, loop.now());
}

std::vector<fleet::ExtensionRecord> Gateway::Parts::ownExtensionRecords() const
{
    return extensionHandlers.ownRecords();
}

void Gateway::Parts::onExtensionRecords(const std::string &instance, const std::vector<fleet::ExtensionRecord> &records)
{
    extensionHandlers.dispatch(instance, records);
}

void Gateway::Parts::onRejected(fleet::RejectReason reason)
{
    context.metrics.increment(
        "magnolia_fleet_rejected_datagrams_total", "reason=\"" + std::string(fleet::toString(reason)) + '"');
}

void Gateway::Parts::onDatagramSent(std::uint8_t format, std::size_t bytes)
{
    context.metrics.increment(
        "magnolia_fleet_sent_bytes_total", "format=\"" + std::to_string(format) + '"', std::uint64_t{bytes});
}

void Gateway::Parts::onEvacuationRecord(const std::string &instance, const fleet::ExtensionRecord &record)
{
    const auto decoded = readEvacuationRecord(record);
    if (!decoded) {
        onRejected(fleet::RejectReason::Malformed);
        return;
    }
    const DataCentreId dataCentre(decoded->dataCentre);
    const auto &evacuations = publishedState.evacuations();
    if (evacuations.size() >= maxEvacuationsFromPeers && !evacuations.contains(dataCentre)) {
        return;
    }
    const auto changes
        = publishedState.applyEvacuation(dataCentre, {decoded->era, decoded->revision}, decoded->isEnded, loop.now());
    if (changes.hasChangedEvacuations) {
        onPublishedStateChanged(changes, instance);
    }
}

void Gateway::Parts::announceEvacuations()
{
    if (!context.random.chance(announcementProbability(context.fleet->table().liveInstanceCount(loop.now())))) {
        return;
    }
    for (const fleet::ExtensionRecord &it : evacuationRecords(publishedState)) {
        context.fleet->announceExtension(it);
    }
}

void Gateway::Parts::addExtensionHandlers()
{
    // The parts call extensionHandlers.add() here, with the tags of fleet::extensiontags.
    if (context.cold->isEnabled()) {
        extensionHandlers.add(
            fleet::extensiontags::coldUpstream, fleet::Capability::ColdBudgets,
            [this]() -> std::vector<fleet::ExtensionRecord> {
                return {{fleet::extensiontags::coldUpstream, context.cold->ownRecord()}};
            },
            [this](const std::string &instance, const fleet::ExtensionRecord &record) {
                context.cold->onPeerRecord(instance, record.bytes);
            });
        context.cold->setAnnouncer([this](const std::string &record) {
            context.fleet->announceExtension({fleet::extensiontags::coldUpstream, record});
        });
    }
    extensionHandlers.add(
        fleet::extensiontags::evacuation, fleet::Capability::Evacuations,
        [this] {
            return evacuationRecords(publishedState);
        },
        [this](const std::string &instance, const fleet::ExtensionRecord &record) {
            onEvacuationRecord(instance, record);
        });
}

void Gateway::Parts::onPartitionChanged()
{
    context.fleet->sendFullState();
    if (context.path->detector().isPartitioned() && callerListener) {
        callerListener->notifyPartitioned();
        if (relayListener) {
            relayListener->notifyPartitioned();
        }
    }
}

std::size_t Gateway::Parts::openRequestCount() const
{
    return callerListener->busyConnectionCount() + (relayListener ? relayListener->busyConnectionCount() : 0);
}

void Gateway::Parts::onPublishedStateChanged(
    const published::PublishedState::ChangeFlags &changes, std::string_view toldBy)
{
    if (changes.hasNewConfiguration) {
        context.catalogue = publishedState.configuration();
        logging::write(logging::Level::Info, "gateway", "configuration_in_force",
            {{"version", context.catalogue->version}, {"store_reached", storeReader.isConnected()},
                {"requires_keys", context.catalogue->requiresApiKeys},
                {"keys", std::uint64_t{context.catalogue->organisationByApiKey.size()}}});
    }
    if (changes.hasChangedUpstreams) {
        const UpstreamIndex::Difference difference
            = context.upstreams.rebuild(publishedState.upstreams(), settings.dataCentre);
        context.crashes->onUpstreamsChanged();
        logUpstreamsChanged(difference, toldBy);
    }
    if (changes.hasChangedUpstreams || changes.hasColdUpstreams || changes.hasNewConfiguration) {
        context.cold->onPublished(publishedState.upstreams(), areRunsComplete);
    }
    areRunsComplete = publishedState.isComplete();
    if (changes.hasNewConfiguration || changes.hasChangedUpstreams) {
        forgetUnpublished(context);
    }
    if (changes.hasChangedEvacuations) {
        updateEvacuations(context, publishedState.evacuations(), toldBy);
        announceEvacuations();
    }
    const bool isReadyNow = isReady();
    if (isReadyNow != wasReady) {
        logging::write(logging::Level::Info, "gateway", isReadyNow ? "ready" : "not_ready", {});
    }
    if (isReadyNow != wasReady) {
        wasReady = isReadyNow;
        context.fleet->sendFullState();
    } else if (changes.hasNewConfiguration || changes.hasChangedUpstreams || changes.hasChangedEvacuations) {
        context.fleet->announcePublishedState();
    }
    if (context.catalogue) {
        callerHandler.releaseHeld();
    }
    if (isReadyNow) {
        openToCallers();
    }
}

void Gateway::Parts::logUpstreamsChanged(const UpstreamIndex::Difference &difference, std::string_view toldBy) const
{
    const auto leavingCount
        = std::count_if(publishedState.upstreams().begin(), publishedState.upstreams().end(), [](const auto &it) {
              return it.second.entry.isLeaving;
          });
    logging::write(logging::Level::Info, "gateway", "upstreams_changed",
        {{"known", std::uint64_t{context.upstreams.size()}}, {"leaving", std::int64_t{leavingCount}},
            {"revision", publishedState.position().revision}, {"told_by", toldBy},
            {"added", firstIds(difference.added)}, {"removed", firstIds(difference.removed)},
            {"now_leaving", firstIds(difference.nowLeaving)}});
}

void Gateway::Parts::openToCallers()
{
    if (callerListener) {
        callerListener->startAccepting();
    }
    if (directoryListener) {
        directoryListener->startAccepting();
    }
}

fleet::OwnReach Gateway::Parts::ownReach(bool isNamed) const
{
    return {isNamed, !context.path->detector().isPartitioned(), storeReader.isConnected()};
}

void Gateway::Parts::logContact()
{
    const fleet::OwnReach reach = ownReach(isReady());
    const bool isContactLost = context.fleet->table().hasLostContact(loop.now(), reach);
    if (isContactLost != wasContactLost) {
        wasContactLost = isContactLost;
        logging::write(logging::Level::Warning, "gateway", isContactLost ? "contact_lost" : "contact_regained",
            {{"peers_heard", std::uint64_t{context.fleet->table().liveInstanceCount(loop.now()) - 1}},
                {"upstreams_reached", reach.areUpstreamsReached}, {"store_reached", reach.isStoreReached}});
    }
}

std::vector<std::string> Gateway::Parts::readyAddresses(const std::vector<RegionId> *regions) const
{
    const auto isInRegions = [&](const RegionId &region) {
        return regions == nullptr
            || (!region.isEmpty() && std::find(regions->begin(), regions->end(), region) != regions->end());
    };
    const auto isAllowed = [&](const fleet::Peer &peer) {
        return isInRegions(catalogue::regionOf(settings.regions, DataCentreId(peer.dataCentre)));
    };
    const bool isSelfNamed = isReady() && isInRegions(ownRegion(settings));
    const bool isPartitioned = context.path->detector().isPartitioned();
    std::vector<std::string> addresses
        = context.fleet->table().callerAddresses(loop.now(), ownReach(isSelfNamed), isAllowed);
    // A partitioned instance relays its requests, so callers are better served elsewhere.
    const bool hasSoundPeer = isPartitioned && context.fleet->table().hasSoundPeer(loop.now(), isAllowed);
    if (isSelfNamed && !hasSoundPeer) {
        addresses.push_back(settings.callerAddress);
    }
    return addresses;
}

std::vector<std::string> Gateway::Parts::locate(std::string_view query) const
{
    const LocateQuery question = readLocateQuery(query, settings.paths);
    const auto homes
        = context.catalogue ? catalogue::homesOfHost(*context.catalogue, question.host) : catalogue::HostHomes();
    for (const std::vector<RegionId> &regions : preferredRegions(homes, question, settings.regions)) {
        if (auto addresses = readyAddresses(&regions); !addresses.empty()) {
            return addresses;
        }
    }
    return readyAddresses(nullptr);
}

ControlResponse Gateway::Parts::respond(std::string_view path, std::string_view query)
{
    if (path == settings.paths.ready) {
        return {isReady() ? 200 : 503, {}, {}};
    }
    if (path == settings.paths.locate || path == productLocatePath) {
        logContact();
        std::vector<std::string> addresses = locate(query);
        if (addresses.empty()) {
            return {503, {}, {}};
        }
        addresses = fleet::sampleAddresses(std::move(addresses), maxLocateAddresses, context.random);
        return {200, "application/json", dependencies.writeLocateResponse(addresses, settings.locateTtl)};
    }
    return {404, {}, {}};
}

ControlResponse Gateway::Parts::respondToOperator(std::string_view path, std::string_view query)
{
    if (path == "/status") {
        const std::string_view stateName = isReady() ? "ready" : context.stopDeadline ? "stopping" : "starting";
        return {200, "application/json",
            statusJson(context, publishedState, {stateName, storeReader.isConnected(), openRequestCount()})};
    }
    if (path == "/metrics") {
        return {200, "text/plain; version=0.0.4", context.metrics.toPrometheusText()};
    }
    return respond(path, query);
}

void Gateway::Parts::expireEntries()
{
    const auto changes = publishedState.removeExpired(loop.now());
    if (changes.hasChangedUpstreams || changes.hasChangedEvacuations) {
        onPublishedStateChanged(changes);
    }
    context.crashes->expire();
    context.cold->expire();
    updateRetryBudgets(context);
    expireSilentPlacements(context);
    loop.after(expiryCheckInterval, [this] {
        expireEntries();
    });
}

void Gateway::Parts::stopAccepting()
{
    for (const auto &it : {callerListener, relayListener}) {
        if (it) {
            it->stopAccepting();
            it->closeIdleConnections();
        }
    }
}

void Gateway::Parts::checkStop(MonoTime stopStartedAt)
{
    const MonoTime now = loop.now();
    const std::size_t busyCount = openRequestCount();
    const bool isStrict = now >= context.strictAdmissionFrom;
    if (isStrict) {
        // Callers that use a cached directory response fail to connect and switch to another instance at once. A
        // refused request would make them come back here.
        stopAccepting();
    }
    if ((isStrict && busyCount == 0) || now >= *context.stopDeadline - finalFlushTime) {
        logging::write(logging::Level::Info, "gateway", "stopped",
            {{"open_requests", std::uint64_t{busyCount}},
                {"after_ms", std::int64_t{toMilliseconds(now - stopStartedAt).count()}}});
        stopAccepting();
        for (const auto &it : {callerListener, relayListener}) {
            if (it) {
                it->answerAll();
            }
        }
        loop.after(finalFlushTime / 2, [this] {
            loop.stop();
        });
        return;
    }
    loop.after(stopCheckInterval, [this, stopStartedAt] {
        checkStop(stopStartedAt);
    });
}

Gateway::Gateway(
    eventloop::EventLoop &loop, GatewaySettings settings, GatewayDependencies dependencies, std::uint64_t seed)
    : m_parts(std::make_unique<Parts>(loop, std::move(settings), std::move(dependencies), seed))
{
}

Gateway::~Gateway()
{
    // The event loop may outlive the gateway and must not keep connections whose requests refer to it.
    for (const auto &it : {m_parts->callerListener, m_parts->relayListener}) {
        if (it) {
            it->closeAll();
        }
    }
}

Result<void> Gateway::start()
{
    Parts &parts = *m_parts;
    parts.callerListener = std::make_shared<Listener>(
        parts.loop, parts.callerHandler, parts.settings.maxConnections, &parts.context.memory);
    if (auto started = parts.callerListener->listen(parts.settings.callerAddress); !started) {
        return started;
    }
    if (!parts.settings.relayAddress.empty()) {
        parts.relayListener = std::make_shared<Listener>(
            parts.loop, parts.relayHandler, parts.settings.maxRelayConnections, &parts.context.memory);
        if (auto started = parts.relayListener->listen(parts.settings.relayAddress); !started) {
            return started;
        }
        parts.relayListener->startAccepting();
    }
    const std::vector<std::pair<std::string, ControlHandler *>> addresses{
        {parts.settings.readinessAddress, &parts.controlHandler},
        {parts.settings.directoryAddress, &parts.controlHandler},
        {parts.settings.metricsAddress, &parts.operatorHandler}};
    for (const auto &[address, handler] : addresses) {
        if (address.empty()) {
            continue;
        }
        auto listener = std::make_shared<Listener>(parts.loop, *handler, maxControlConnections);
        if (auto started = listener->listen(address); !started) {
            return started;
        }
        if (address == parts.settings.directoryAddress) {
            parts.directoryListener = listener;
        } else {
            listener->startAccepting();
        }
        parts.listeners.push_back(std::move(listener));
    }
    parts.loop.after(startupUnreadTime, [&parts] {
        parts.openToCallers();
    });
    if (auto started = parts.context.fleet->start(); !started) {
        return started;
    }
    parts.storeReader.start();
    parts.expireEntries();
    parts.context.metrics.setGauge("magnolia_gateway_open_requests", [&parts] {
        return static_cast<double>(parts.openRequestCount());
    });
    parts.context.metrics.setGauge("magnolia_gateway_failed_callbacks", [&parts] {
        return static_cast<double>(parts.loop.failedCallbackCount());
    });
    parts.context.metrics.setGauge("magnolia_gateway_evacuated_data_centres", [&parts] {
        return static_cast<double>(parts.context.evacuatedSince.size());
    });
    parts.context.metrics.setGauge("magnolia_gateway_held_output_bytes", [&parts] {
        return static_cast<double>(parts.context.memory.held(memory::MemoryKind::Output).count());
    });
    parts.context.metrics.setGauge("magnolia_gateway_held_body_bytes", [&parts] {
        return static_cast<double>(parts.context.memory.held(memory::MemoryKind::Body).count());
    });
    parts.context.metrics.setGauge("magnolia_gateway_callers_disconnected", [&parts] {
        return static_cast<double>(parts.callerListener->disconnectedCount());
    });
    parts.context.metrics.setGauge("magnolia_gateway_held_requests", [&parts] {
        return static_cast<double>(parts.callerHandler.heldCount());
    });
    parts.context.metrics.setGauge("magnolia_gateway_partitioned", [&parts] {
        return parts.context.path->detector().isPartitioned() ? 1.0 : 0.0;
    });
    parts.context.metrics.setGauge("magnolia_gateway_known_placements", [&parts] {
        return static_cast<double>(parts.context.placements.size());
    });
    parts.context.metrics.setGauge("magnolia_gateway_store_calls", [&parts] {
        return static_cast<double>(parts.storeReader.callCount());
    });
    parts.context.metrics.setGauge("magnolia_gateway_store_answer_age_seconds", [&parts] {
        return std::chrono::duration<double>(parts.loop.now() - parts.storeReader.lastAnswerAt()).count();
    });
    if (parts.context.cold->isEnabled()) {
        parts.context.metrics.setGauge("magnolia_gateway_cold_upstreams", [&parts] {
            return static_cast<double>(parts.context.cold->coldCount());
        });
    }
    logging::write(logging::Level::Info, "gateway", "started",
        {{"caller_address", std::string_view(parts.settings.callerAddress)},
            {"seeds", std::uint64_t{parts.settings.seeds.size()}}});
    return {};
}

void Gateway::beginStop()
{
    Parts &parts = *m_parts;
    if (parts.context.stopDeadline) {
        return;
    }
    const MonoTime now = parts.loop.now();
    parts.context.stopDeadline = now + parts.settings.stopGracePeriod;
    // Callers use an answer of the directory that names this instance until its time to live has passed.
    parts.context.strictAdmissionFrom = now + std::min(parts.settings.locateTtl, parts.settings.stopGracePeriod);
    logging::write(
        logging::Level::Info, "gateway", "stopping", {{"open_requests", std::uint64_t{parts.openRequestCount()}}});
    parts.onPublishedStateChanged({});
    parts.callerHandler.releaseHeld();
    parts.context.fleet->sendFullState();
    parts.checkStop(now);
}

} // namespace magnolia::gateway
