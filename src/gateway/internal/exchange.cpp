// Places requests and sends them to upstreams.
#include "gateway/internal/exchange.h"

#include "catalogue/callerbehaviour.h"
#include "catalogue/routing.h"
#include "fleet/cells.h"
#include "framework/httpwire/messagewriter.h"
#include "framework/logging/log.h"
#include "gateway/internal/coldupstreams.h"
#include "gateway/internal/crashmonitor.h"
#include "gateway/internal/evacuations.h"
#include "gateway/internal/exchangelimits.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/memoryreservation.h"
#include "gateway/internal/pathmonitor.h"
#include "gateway/internal/requesttraits.h"
#include "gateway/internal/upstreamcall.h"
#include "gateway/internal/upstreamsignals.h"
#include "gateway/iresponsewriter.h"
#include "limits/backoff.h"
#include "limits/retries.h"
#include "placement/chooseservice.h"
#include "placement/enginecost.h"
#include "placement/enginepriority.h"

#include <algorithm>
#include <cmath>

namespace magnolia::gateway
{

namespace
{

/** New work must end at least this long before the process ends. */
constexpr Milliseconds stopMargin{900};

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(' ');
    return first == std::string_view::npos ? std::string_view() : text.substr(first);
}

/** Retry-After of a refused request whose quarantine has ended but which this instance may not send. */
constexpr Milliseconds minQuarantineRetryAfter{1000};
} // namespace

Exchange::Exchange(GatewayContext &context, const catalogue::Route &route,
    std::optional<catalogue::OrganisationEntry> organisation, httpwire::RequestHead head, std::string body,
    MonoTime receivedAt, std::optional<RelayOrigin> relayOrigin, IResponseWriter &responseWriter)
    : m_context(context)
    , m_catalogue(context.catalogue)
    , m_route(route)
    , m_organisation(std::move(organisation))
    , m_homes(catalogue::homesOf(route, m_organisation ? &*m_organisation : nullptr))
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_receivedAt(receivedAt)
    , m_relayOrigin(std::move(relayOrigin))
    , m_responseWriter(responseWriter)
    , m_requestId(m_head.fields.value(context.settings.names.requestId))
    , m_heldAnswer(context.memory.limits().isLimited() ? &context.memory : nullptr, memory::MemoryKind::Output)
{
}

Exchange::~Exchange()
{
    m_context.loop.cancel(m_timeoutTimer);
    m_context.loop.cancel(m_silenceTimer);
    if (m_upstreamCall) {
        m_upstreamCall->cancel();
    }
    leaveAnswerOrder();
    if (m_placementId != 0) {
        endAttempt(std::nullopt);
    }
}

bool Exchange::isDone() const
{
    return m_isDone;
}

bool Exchange::isStream() const
{
    return m_route.kind == catalogue::RouteKind::Stream;
}

Milliseconds Exchange::waitLimit() const
{
    return catalogue::streamPatience(m_route.latencyTarget, m_route.gapTarget);
}

placement::CallerTime Exchange::callerTime() const
{
    placement::CallerTime time;
    time.untilDeadline = toMilliseconds(m_callerDeadline - m_context.loop.now());
    time.untilAttemptEnds = availableTime();
    time.attemptTime = m_route.timeout;
    time.patience = Milliseconds::max();
    if (isStream()) {
        time.patience = waitLimit();
        time.waited = toMilliseconds(m_context.loop.now() - (m_hasResponseBegun ? m_lastEventAt : m_receivedAt));
    }
    return time;
}

const catalogue::EngineModel *Exchange::engineOf(const std::string &service) const
{
    const auto known = m_catalogue->services.find(service);
    return known != m_catalogue->services.end() && known->second.engine ? &*known->second.engine : nullptr;
}

double Exchange::decodeMs(const catalogue::EngineModel &engine, double outputTokens) const
{
    return placement::remainingOutputTokens(engine, outputTokens, receivedEvents(engine))
        / std::max(engine.stepsPerPass, 1) * placement::decodePassMs(engine, engine.slots / 2, m_promptTokens);
}

double Exchange::decodeMs(const catalogue::EngineModel &engine) const
{
    return decodeMs(engine, m_outputTokens);
}

int Exchange::enginePriority() const
{
    const int rank = m_organisation && m_organisation->priority ? *m_organisation->priority : m_route.priority;
    const catalogue::EngineModel *const engine = engineOf(m_service);
    const Milliseconds slack
        = callerTime().untilFirstEvent(engine == nullptr ? 0 : decodeMs(*engine)) - m_decision.predictedFirstEvent;
    return placement::enginePriority(placement::urgencyScale(*m_catalogue), rank, slack);
}

Milliseconds Exchange::elapsed() const
{
    return toMilliseconds(m_context.loop.now() - m_receivedAt);
}

Milliseconds Exchange::remainingTime() const
{
    return toMilliseconds(m_deadline - m_context.loop.now());
}

void Exchange::start()
{
    const WireNames &names = m_context.settings.names;
    const double deadline = readNumber(m_head.fields.value(names.deadline));
    const Milliseconds callerWaitTime
        = deadline > 0 ? Milliseconds(static_cast<std::int64_t>(deadline)) : m_route.timeout;
    m_callerDeadline = m_receivedAt + callerWaitTime;
    m_deadline = m_receivedAt + std::min(callerWaitTime, m_route.timeout);
    m_lastEventId = streaming::EventId::parse(m_head.fields.value(names.lastEventId));
    readEstimates();
    m_fingerprint = requestFingerprint(m_head, m_body, m_organisation);
    m_traits = requestTraits(m_head, m_fingerprint, names, m_organisation);
    const catalogue::Destination *destination = catalogue::chooseDestination(m_route, m_requestId);
    if (destination == nullptr) {
        // Until the next configuration.
        giveUp("no_destination", std::nullopt);
        return;
    }
    m_service = destination->service;
    if (!m_relayOrigin) {
        limits::onNewRequest(m_context.retryBudgets.of(m_service));
    }
    m_timeoutTimer = m_context.loop.after(remainingTime(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onTimeout();
        }
    });
    place();
}

void Exchange::readEstimates()
{
    const WireNames &names = m_context.settings.names;
    const std::string_view usage = m_head.fields.value(names.tokenUsage);
    const std::size_t comma = usage.find(',');
    m_promptTokens = readNumber(usage.substr(0, comma));
    const double maxTokens = comma == std::string_view::npos ? 0 : readNumber(trimmed(usage.substr(comma + 1)));
    const double estimate = readNumber(m_head.fields.value(names.outputEstimate));
    m_maxOutputTokens = std::max(estimate, maxTokens);
    m_outputTokens = estimate > 0 && maxTokens > 0 ? std::min(estimate, maxTokens) : std::max(estimate, maxTokens);
}

std::uint64_t Exchange::receivedEvents(const catalogue::EngineModel &engine) const
{
    const auto number = m_lastEventId ? m_lastEventId->number() : std::nullopt;
    const double maxEvents = std::ceil(m_maxOutputTokens / std::max(engine.stepsPerPass, 1));
    // Larger ids count from another number than 1, for example from a time stamp.
    return number && static_cast<double>(*number) <= maxEvents ? *number : m_forwardedEvents;
}

/**
 * Returns the upstreams that this request may use, in the order that is shared by the instances of the cell: those of
 * the cell, whose instances announce their placements here, and those on which the request may already have run.
 */
std::vector<const KnownUpstream *> Exchange::upstreamsInReach(
    const std::string &service, const std::vector<placement::UpstreamKey> &possiblyRunOn) const
{
    std::vector<const KnownUpstream *> staying;
    std::vector<placement::UpstreamKey> keys;
    for (const KnownUpstream &it : m_context.upstreams.ofService(service)) {
        if (!it.entry.isLeaving && !isEvacuated(m_context, it.entry.dataCentre)) {
            staying.push_back(&it);
            keys.push_back(it.key);
        }
    }
    std::vector<const KnownUpstream *> inReach;
    for (const std::size_t i :
        fleet::upstreamsOfCell(keys, m_context.fleet->ownCellIndex(), m_context.fleet->cellSizes())) {
        inReach.push_back(staying[i]);
    }
    if (m_homes.areLimited) {
        // The cells share the upstreams without regard to homes, so that each upstream has the same users for all
        // requests. A cell without an upstream in a home uses those of the others.
        const auto isOutside = [this](const KnownUpstream *it) {
            return !isAllowed(*it);
        };
        std::erase_if(staying, isOutside);
        std::erase_if(inReach, isOutside);
        if (inReach.empty()) {
            inReach = staying;
        }
    }
    for (const KnownUpstream *const it : staying) {
        const bool hasPossiblyRun
            = std::find(possiblyRunOn.begin(), possiblyRunOn.end(), it->key) != possiblyRunOn.end();
        if (hasPossiblyRun && std::find(inReach.begin(), inReach.end(), it) == inReach.end()) {
            inReach.push_back(it);
        }
    }
    // The users of a cold upstream are chosen among the instances of all cells. Like borrowed upstreams, it is in the
    // middle of the order.
    for (const KnownUpstream *const it : staying) {
        if (m_context.cold->isUserOfCold(*it) && std::find(inReach.begin(), inReach.end(), it) == inReach.end()) {
            inReach.insert(inReach.begin() + static_cast<std::ptrdiff_t>(inReach.size() / 2), it);
        }
    }
    return inReach;
}

bool Exchange::isAllowed(const KnownUpstream &upstream) const
{
    return !isEvacuated(m_context, upstream.entry.dataCentre)
        && catalogue::mayRunIn(m_homes, m_context.settings.regions, upstream.entry.dataCentre);
}

bool Exchange::isDecisionAllowed() const
{
    const auto isAllowedNow = [this](placement::UpstreamKey key) {
        const KnownUpstream *known = m_context.upstreams.find(key);
        return known != nullptr && !known->entry.isLeaving && isAllowed(*known);
    };
    return isAllowedNow(m_decision.primary)
        && std::all_of(m_decision.helpers.begin(), m_decision.helpers.end(), isAllowedNow);
}

placement::Decision Exchange::choosePlacement(const std::string &service, std::vector<placement::UpstreamKey> &usable)
{
    const MonoTime now = m_context.loop.now();
    const auto possiblyRunOn = m_attempts.possiblyRunOn();
    const auto &refusedBy = m_attempts.refusedBy();
    const bool isAtLimit = static_cast<int>(possiblyRunOn.size()) >= maxAttempts();
    std::vector<placement::Candidate> candidates;
    std::size_t excludedCount = 0;
    std::vector<bool> areExcluded;
    // Earliest time at which an upstream that has asked for fewer requests takes one again.
    MonoTime firstAvailableAt = MonoTime::max();
    for (const KnownUpstream *const known : upstreamsInReach(service, possiblyRunOn)) {
        const KnownUpstream &it = *known;
        const bool hasPossiblyRun
            = std::find(possiblyRunOn.begin(), possiblyRunOn.end(), it.key) != possiblyRunOn.end();
        const bool hasRefused = std::find(refusedBy.begin(), refusedBy.end(), it.key) != refusedBy.end();
        // Once the maximum number of upstreams may have run the request, only these may receive it again.
        if (hasPossiblyRun != isAtLimit) {
            continue;
        }
        const MonoTime availableAt = upstreamAvailableAt(m_context, it);
        if (availableAt > now) {
            firstAvailableAt = std::min(firstAvailableAt, availableAt);
            continue;
        }
        if (const MonoTime coldAvailableAt = m_context.cold->availableAt(it); coldAvailableAt > now) {
            firstAvailableAt = std::min(firstAvailableAt, coldAvailableAt);
            ++m_coldWithheld;
            continue;
        }
        if (hasRefused) {
            continue;
        }
        const bool isOnTrial = m_context.outliers.isOnTrial(it.key, now);
        placement::Candidate candidate{it.key, std::max(it.entry.slots, 1), m_context.outliers.slowdown(it.key),
            isOnTrial, it.delay, unreportedRequests(m_context, it.key)};
        // A request that must not run twice is not used to test an upstream that has failed.
        const bool isExcluded = m_context.outliers.isExcluded(it.key, now) || (isOnTrial && !m_route.isRepeatable());
        candidates.push_back(candidate);
        areExcluded.push_back(isExcluded);
        excludedCount += isExcluded ? 1 : 0;
    }
    // If more than two thirds are excluded, the evidence is considered unreliable and the excluded ones are used too.
    if ((candidates.size() - excludedCount) * 2 >= excludedCount) {
        std::size_t i = 0;
        std::erase_if(candidates, [&](const auto & /*candidate*/) {
            return areExcluded[i++];
        });
    }
    usable.clear();
    for (const placement::Candidate &it : candidates) {
        usable.push_back(it.key);
    }
    if (candidates.empty() && firstAvailableAt != MonoTime::max()) {
        placement::Decision refused;
        refused.verdict = placement::Verdict::Paused;
        const Milliseconds pause = toMilliseconds(firstAvailableAt - now);
        if (pause < callerTime().untilDeadline) {
            refused.retryAfter = pause;
        }
        return refused;
    }
    const auto loads = m_context.placements.loads(now);
    if (const catalogue::EngineModel *const engine = engineOf(service)) {
        for (placement::Candidate &it : candidates) {
            it.slots = std::max(engine->slots, 1);
            // Measured on the placements of all instances, since one instance sends an engine too few requests.
            it.slowdown = m_context.placements.slowdown(it.key, now);
        }
        placement::WorkEstimate work;
        work.promptTokens = m_promptTokens;
        work.outputTokens = m_outputTokens;
        work.decodeMs = decodeMs(*engine);
        const placement::ResponseTargets targets{
            std::max(Milliseconds{1}, m_route.latencyTarget - elapsed()), m_route.gapTarget};
        return placement::chooseEngines(*engine, work, callerTime(), targets, candidates, loads, m_context.choice);
    }
    const auto measured = m_context.meanServiceMs.find(service);
    const placement::ServiceWork work{measured == m_context.meanServiceMs.end() ? initialServiceMs : measured->second,
        callerTime(), m_context.random.next()};
    return placement::chooseServiceUpstream(work, candidates, loads);
}

Milliseconds Exchange::outageRetryAfter()
{
    const MonoTime now = m_context.loop.now();
    const auto withoutUpstream = m_context.withoutUpstreamSince.find(m_service);
    const MonoTime since = m_context.path->detector().partitionedSince().value_or(
        withoutUpstream == m_context.withoutUpstreamSince.end() ? now : withoutUpstream->second);
    return limits::outageRetryAfter(toMilliseconds(now - since), callerTime().untilDeadline, m_context.random);
}

std::optional<Milliseconds> Exchange::timeUntilPlaceable()
{
    std::vector<placement::UpstreamKey> usable;
    const placement::Decision decision = choosePlacement(m_service, usable);
    if (decision.verdict == placement::Verdict::Send) {
        return Milliseconds{0};
    }
    return decision.verdict == placement::Verdict::NoUpstream ? outageRetryAfter() : decision.retryAfter;
}

std::optional<Milliseconds> Exchange::timeUntilMemory() const
{
    // Other prompts that need several engines hold the memory. On average half of their time has passed.
    const catalogue::EngineModel *const engine = engineOf(m_service);
    const double decode = engine == nullptr ? 0 : decodeMs(*engine);
    const auto firstEvent = static_cast<double>(m_decision.predictedFirstEvent.count());
    const double wait = (firstEvent + decode) / 2;
    const auto servable = placement::timeUntilServable(callerTime(), wait + firstEvent, decode);
    return servable ? std::optional(std::max(*servable, Milliseconds(static_cast<std::int64_t>(wait)))) : std::nullopt;
}

Milliseconds Exchange::availableTime() const
{
    // A response that has begun uses its full remaining time.
    if (!m_context.stopDeadline || m_hasResponseBegun) {
        return remainingTime();
    }
    return std::min(remainingTime(), toMilliseconds(*m_context.stopDeadline - stopMargin - m_context.loop.now()));
}

bool Exchange::mustBeRefusedInStop() const
{
    const bool isStrict = m_context.stopDeadline && m_context.loop.now() >= m_context.strictAdmissionFrom;
    // The time that an upstream needs depends on its other requests, so that only the deadline bounds it. A request
    // that may have run cannot be refused as not run any more; it is sent again if it is expected to end in time.
    return isStrict && m_attempts.possibleRunCount() == 0 && availableTime() < remainingTime();
}

bool Exchange::refuseIfStopping()
{
    if (!mustBeRefusedInStop()) {
        return false;
    }
    // Other instances can take the request at once.
    giveUp("stopping", Milliseconds{0});
    return true;
}

std::vector<std::string> Exchange::helperIds(const placement::Decision &decision) const
{
    std::vector<std::string> names;
    names.reserve(decision.helpers.size());
    for (const placement::UpstreamKey it : decision.helpers) {
        names.emplace_back(m_context.upstreams.idOf(it));
    }
    return names;
}

bool Exchange::refuseIfQuarantined()
{
    const auto quarantine = m_context.crashes->refusal(m_requestId, m_traits);
    if (!quarantine) {
        return false;
    }
    const Milliseconds rest
        = std::max(minQuarantineRetryAfter, toMilliseconds(quarantine->until - m_context.loop.now()));
    giveUp("quarantined", rest < callerTime().untilDeadline ? std::optional(rest) : std::nullopt);
    return true;
}

void Exchange::place()
{
    if (remainingTime() < minRemainingTime) {
        onTimeout();
        return;
    }
    if (refuseIfQuarantined()) {
        return;
    }
    if (m_relayOrigin && m_context.stopDeadline) {
        giveUp("stopping", Milliseconds{0});
        return;
    }
    if (refuseIfStopping()) {
        return;
    }
    if (mayRelay() && relay()) {
        return;
    }
    if (m_context.path->detector().isPartitioned()) {
        // What was sent now could not arrive, but would no longer be certain not to have run.
        giveUp("partitioned", outageRetryAfter());
        return;
    }
    std::vector<placement::UpstreamKey> usable;
    m_coldWithheld = 0;
    placement::Decision decision = choosePlacement(m_service, usable);
    if (decision.verdict == placement::Verdict::NoUpstream || decision.verdict == placement::Verdict::Paused) {
        // Another destination of the route may have a usable upstream.
        for (const catalogue::Destination &it : m_route.destinations) {
            if (it.service != m_service && it.weight > 0) {
                const placement::Decision other = choosePlacement(it.service, usable);
                if (other.verdict == placement::Verdict::Send) {
                    decision = other;
                    m_service = it.service;
                    break;
                }
            }
        }
    }
    if (decision.verdict == placement::Verdict::NoUpstream) {
        m_context.withoutUpstreamSince.try_emplace(m_service, m_context.loop.now());
        decision.retryAfter = outageRetryAfter();
    } else {
        m_context.withoutUpstreamSince.erase(m_service);
        if (decision.verdict == placement::Verdict::TooLarge && !decision.retryAfter
            && usable.size() < m_context.upstreams.ofService(m_service).size()) {
            // Engines that cannot be used now would hold a part of the prompt.
            decision.retryAfter = outageRetryAfter();
        }
    }
    const KnownUpstream *chosen = m_context.upstreams.find(decision.primary);
    const bool isOnCold = chosen != nullptr && m_context.cold->coldTimeLeft(*chosen) > Milliseconds{0};
    const std::string chosenId = decision.primary == 0 ? std::string() : m_context.upstreams.idOf(decision.primary);
    std::vector<logging::Field> fields{{"request", std::string_view(m_requestId)},
        {"route", std::string_view(m_route.name)}, {"verdict", placement::toString(decision.verdict)},
        {"upstream", std::string_view(chosenId)}, {"helpers", helperIds(decision)},
        {"usable", std::uint64_t{usable.size()}}, {"prompt_tokens", static_cast<std::uint64_t>(m_promptTokens)},
        {"output_tokens", static_cast<std::uint64_t>(m_outputTokens)},
        {"ticket_tokens", static_cast<std::uint64_t>(decision.reservedTokensPerHelper)},
        {"predicted_ms", std::int64_t{decision.predictedFirstEvent.count()}},
        {"target_ms", std::int64_t{m_route.latencyTarget.count()}}, {"elapsed_ms", std::int64_t{elapsed().count()}},
        {"known_placements", std::uint64_t{m_context.placements.size()}}, {"configuration", m_catalogue->version}};
    const std::string homes = catalogue::toString(m_homes);
    if (m_homes.areLimited) {
        fields.push_back({"homes", std::string_view(homes)});
    }
    const std::string_view callerEventId = m_head.fields.value(m_context.settings.names.lastEventId);
    if (!callerEventId.empty() || m_lastEventId) {
        fields.push_back({"caller_event_id", callerEventId});
        fields.push_back({"last_event_id", m_lastEventId ? std::string_view(m_lastEventId->text()) : callerEventId});
    }
    if (m_coldWithheld > 0 || isOnCold) {
        fields.push_back({"cold_withheld", std::uint64_t{m_coldWithheld}});
        fields.push_back({"cold", isOnCold});
    }
    if (m_context.stopDeadline) {
        const Milliseconds untilStop = toMilliseconds(*m_context.stopDeadline - m_context.loop.now());
        fields.push_back({"remaining_ms", std::int64_t{remainingTime().count()}});
        fields.push_back({"until_stop_ms", std::int64_t{untilStop.count()}});
    }
    logging::write(logging::Level::Info, "gateway", "placed", fields);
    if (m_coldWithheld > 0) {
        m_context.metrics.increment("magnolia_gateway_cold_withheld_total");
    }
    if (decision.verdict == placement::Verdict::NoUpstream && m_context.path->isInvestigating() && !m_hasAwaitedPath) {
        awaitPath(placement::toString(decision.verdict), decision.retryAfter);
        return;
    }
    if (decision.verdict != placement::Verdict::Send) {
        giveUp(placement::toString(decision.verdict), decision.retryAfter);
        return;
    }
    startAttempt(decision);
}

std::string Exchange::requestBytes(const placement::Decision &decision) const
{
    const WireNames &names = m_context.settings.names;
    const std::string_view options = m_head.fields.value("Connection");
    httpwire::RequestHead head;
    head.method = m_head.method;
    head.target = m_head.target;
    for (const auto &[name, value] : m_head.fields.entries) {
        const bool isSetHere = httpwire::isSameFieldName(name, names.authorization)
            || httpwire::isSameFieldName(name, names.organisation) || httpwire::isSameFieldName(name, names.deadline)
            || httpwire::isSameFieldName(name, names.expectedUpstream)
            || httpwire::isSameFieldName(name, names.enginePriority) || httpwire::isSameFieldName(name, names.helpers)
            || (m_lastEventId && httpwire::isSameFieldName(name, names.lastEventId))
            || httpwire::isSameFieldName(name, "Expect");
        if (!isSetHere && !isRelayField(name) && !httpwire::isHopByHop(name, options)) {
            head.fields.add(name, value);
        }
    }
    const KnownUpstream *knownUpstream = m_context.upstreams.find(decision.primary);
    head.fields.add(names.deadline, std::to_string(std::max<std::int64_t>(1, remainingTime().count())));
    head.fields.add(names.expectedUpstream, knownUpstream->entry.id.value());
    if (m_organisation) {
        head.fields.add(names.organisation, m_organisation->name.value());
    }
    if (m_lastEventId) {
        head.fields.add(names.lastEventId, m_lastEventId->text());
    }
    if (isStream()) {
        head.fields.add(names.enginePriority, std::to_string(enginePriority()));
    }
    std::string helpers;
    for (const placement::UpstreamKey key : decision.helpers) {
        if (const KnownUpstream *helper = m_context.upstreams.find(key)) {
            helpers.append(helpers.empty() ? "" : ",").append(helper->entry.address);
            if (m_reservation) {
                helpers.append("/").append(m_reservation->id());
            }
        }
    }
    if (!helpers.empty()) {
        head.fields.add(names.helpers, helpers);
    }
    if (!m_body.empty() || m_head.fields.has("Content-Length") || m_head.fields.has("Transfer-Encoding")) {
        head.fields.add("Content-Length", std::to_string(m_body.size()));
    }
    std::string bytes = httpwire::writeRequestHead(head);
    bytes.append(m_body);
    return bytes;
}

void Exchange::startAttempt(const placement::Decision &decision)
{
    if (m_attempts.mayHaveRun() || !m_attempts.refusedBy().empty()) {
        m_context.metrics.increment("magnolia_gateway_repeats_total");
    }
    m_decision = decision;
    m_isRelaying = false;
    resetAttempt();
    registerPlacement();
    if (decision.reservedTokensPerHelper > 0 && !decision.helpers.empty()) {
        reserveAndSend();
    } else {
        sendToPrimary();
    }
}

void Exchange::resetAttempt()
{
    ++m_attemptNumber;
    m_attemptStartedAt = m_context.loop.now();
    m_lastProgressAt = m_attemptStartedAt;
    m_upstreamHead = {};
    m_upstreamBody.clear();
    m_heldAnswer.set(Bytes{0}, m_context.loop.now());
    leaveAnswerOrder();
    m_wasAnswerPaused = false;
    m_eventSplitter = {};
    m_bytesSinceEvent = 0;
    m_isStreaming = false;
    m_attemptFirstEventAt.reset();
    m_isPastBeginning = false;
    if (m_silenceTimer == 0) {
        checkSilence();
    }
}

void Exchange::registerPlacement()
{
    placement::Placement placed;
    do {
        placed.id = m_context.random.next();
    } while (placed.id == 0);
    placed.primary = m_decision.primary;
    placed.helpers = m_decision.helpers;
    placed.promptTokens = m_promptTokens;
    placed.outputTokens = m_outputTokens;
    placed.gapTarget = m_route.gapTarget;
    const catalogue::EngineModel *const engine = engineOf(m_service);
    placed.firstEventLimit
        = std::max(Milliseconds{0}, callerTime().untilFirstEvent(engine == nullptr ? 0 : decodeMs(*engine)));
    placed.placedAt = m_attemptStartedAt;
    placed.reservedTokensPerHelper = m_decision.reservedTokensPerHelper;
    m_placementId = placed.id;
    m_context.placements.put(m_context.settings.instance.value(), placed, m_attemptStartedAt);
    countRequest(m_context, placed.primary);
    m_context.fleet->announcePlacement(
        {placed.id, placed.primary, placed.helpers, static_cast<std::uint32_t>(placed.promptTokens),
            static_cast<std::uint32_t>(placed.outputTokens), static_cast<std::uint32_t>(placed.gapTarget.count()),
            static_cast<std::uint32_t>(placed.firstEventLimit.count()), 0, false, false,
            static_cast<std::uint32_t>(placed.reservedTokensPerHelper)});
}

void Exchange::reserveAndSend()
{
    m_reservation
        = std::make_shared<MemoryReservation>(m_context, m_decision.helpers, m_decision.reservedTokensPerHelper);
    m_reservation->acquire([weak = weak_from_this(), attempt = m_attemptNumber](bool isReserved) {
        const auto self = weak.lock();
        if (!self || self->m_isDone || attempt != self->m_attemptNumber) {
            return;
        }
        if (isReserved) {
            if (self->refuseIfQuarantined() || self->refuseIfStopping()) {
                self->endAttempt(std::nullopt);
                return;
            }
            self->sendToPrimary();
            return;
        }
        logging::write(logging::Level::Info, "gateway", "memory_not_held",
            {{"request", std::string_view(self->m_requestId)}, {"tokens", self->m_decision.reservedTokensPerHelper},
                {"helpers", std::uint64_t{self->m_decision.helpers.size()}}});
        self->endAttempt(std::nullopt);
        if (self->mayRelay()) {
            self->place();
            return;
        }
        // Other instances hold memory that looked free here. The request is refused instead of trying other engines.
        self->giveUp("memory_not_held", self->timeUntilMemory());
    });
}

void Exchange::sendToPrimary()
{
    const KnownUpstream *knownUpstream = m_context.upstreams.find(m_decision.primary);
    if (knownUpstream == nullptr) {
        endAttempt(std::nullopt);
        place();
        return;
    }
    if (const MonoTime now = m_context.loop.now(); now > m_attemptStartedAt && isPaused(*knownUpstream, now)) {
        // The upstream, or a helper, has asked for rest while memory was being reserved.
        endAttempt(std::nullopt);
        place();
        return;
    }
    if (m_context.cold->availableAt(*knownUpstream) > m_context.loop.now()) {
        // The upstream has become cold, or others have used the budget, while memory was being reserved.
        endAttempt(std::nullopt);
        place();
        return;
    }
    if (!isDecisionAllowed()) {
        // It began to leave, or its data centre was evacuated, while memory was being reserved.
        endAttempt(std::nullopt);
        place();
        return;
    }
    m_attempts.begin(m_decision.primary);
    m_context.cold->recordRequest(m_decision.primary);
    m_upstreamStartedAt = knownUpstream->entry.startedAt;
    m_sentAt = m_context.loop.now();
    UpstreamCallRequest request;
    request.address = knownUpstream->entry.address;
    request.method = m_head.method;
    request.requestId = m_requestId;
    request.requestIdField = m_context.settings.names.requestId;
    request.notExecutedField = m_context.settings.names.notExecuted;
    // A pooled connection may close while the request is being sent, which leaves unknown whether the request ran. A
    // stream is then resumed elsewhere. A plain request would lose one of its few attempts, so it uses a new one.
    request.canReuseConnection = isStream() && m_route.isRepeatable();
    if (m_context.memory.limits().isLimited()) {
        // Many streams may each read once more before they find that memory is short.
        request.maxInput = memory::minStreamBytes;
    }
    request.bytes = requestBytes(m_decision);
    request.mayStillSend = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && self->isDecisionAllowed() && !self->mustBeRefusedInStop();
    };
    m_upstreamCall
        = std::make_shared<UpstreamCall>(m_context.loop, m_context.connectionPool, std::move(request), *this);
    m_upstreamCall->start();
}

bool Exchange::isPaused(const KnownUpstream &primary, MonoTime now) const
{
    const auto isResting = [&](const KnownUpstream &it) {
        return m_context.pressure.pausedUntil(it.key, it.entry.startedAt) > now;
    };
    return isResting(primary)
        || std::any_of(m_decision.helpers.begin(), m_decision.helpers.end(), [&](placement::UpstreamKey key) {
               const KnownUpstream *helper = m_context.upstreams.find(key);
               return helper != nullptr && isResting(*helper);
           });
}

void Exchange::endAttempt(std::optional<outliers::AttemptOutcome> attemptOutcome)
{
    if (m_reservation) {
        m_reservation->release();
        m_reservation.reset();
    }
    if (m_placementId == 0) {
        return;
    }
    m_context.placements.remove(m_placementId, m_context.loop.now());
    m_context.fleet->announceEnd({m_placementId, m_decision.primary,
        attemptOutcome ? static_cast<std::uint8_t>(*attemptOutcome) : fleet::PlacementEnd::noOutcome});
    m_placementId = 0;
    if (attemptOutcome) {
        recordAttemptOutcome(m_context, m_decision.primary, *attemptOutcome);
    }
}

} // namespace magnolia::gateway
