// Simulation of the fleet: delivers events, and applies pauses, crashes and partitions.
#include "configuration/tests/configurationfleet.h"

#include <algorithm>

namespace magnolia::testing
{

using namespace magnolia::configuration;

namespace
{

/** Time that membership needs to detect a failed peer. */
constexpr Milliseconds failureDetectionTime{3'000};
constexpr Milliseconds viewInterval{1'000};
constexpr Milliseconds connectionRefusedDelay{5};
constexpr Milliseconds fetchTimeout{1'000};
constexpr std::size_t maxBacklog = 200;

ConfigurationSnapshot makeSnapshot(Revision revision, bool isValid)
{
    ConfigurationSnapshot snapshot{revision, {}};
    snapshot.values["classes"] = "[]";
    snapshot.values["organisations"] = R"([{"name":"tambor-verde"},{"name":"zaklad"}])";
    snapshot.values["models"] = isValid ? "[\"m" + std::to_string(revision.count()) + "\"]" : "[\"m\",]";
    return snapshot;
}

} // namespace

ConfigurationFleet::ConfigurationFleet(std::uint64_t seed, FleetShape shape)
    : m_shape(shape)
    , m_schedule(seed)
    , m_service(m_schedule, m_shape.replicas)
    , m_network(m_schedule)
{
    for (std::size_t dataCentre = 0; dataCentre < m_shape.dataCentres; ++dataCentre) {
        for (std::size_t i = 0; i < m_shape.entriesPerDataCentre; ++i) {
            const std::string id = "e" + std::to_string(dataCentre) + "-" + std::to_string(i);
            FleetNode &node = m_nodes[id];
            node.self = Self{InstanceId(id), DataCentreId("dc" + std::to_string(dataCentre)), m_shape.replicas};
            m_network.attach(id, [this, id](const std::string &from, const ConfigurationMessage &message) {
                deliver(id, m_nodes[id].incarnation, MessageReceived{InstanceId(from), message});
            });
        }
    }
}

void ConfigurationFleet::startAll()
{
    for (auto &[id, node] : m_nodes) {
        start(id);
    }
}

void ConfigurationFleet::crash(const std::string &id)
{
    FleetNode &node = m_nodes[id];
    if (!node.isUp) {
        return;
    }
    node.isUp = false;
    node.isPaused = false;
    node.backlog.clear();
    node.disruptedAt = m_schedule.now();
    ++node.incarnation;
    for (auto &[other, peer] : m_nodes) {
        peer.unreachableSince.emplace(id, m_schedule.now());
    }
}

void ConfigurationFleet::start(const std::string &id)
{
    FleetNode &node = m_nodes[id];
    if (node.isUp) {
        return;
    }
    node.isUp = true;
    node.disruptedAt = m_schedule.now();
    node.highestRevision = Revision();
    node.wasReady = false;
    node.rejections.clear();
    node.isViewKnown = false;
    node.state = std::make_unique<ConfigurationState>(node.self, m_shape.parameters, m_schedule.random().next());
    configuration::start(*node.state, m_schedule.now());
    for (auto &[other, peer] : m_nodes) {
        if (!m_network.isPartitioned(id, other)) {
            peer.unreachableSince.erase(id);
        }
    }
    recordCatchUpStart(node);
    scheduleViewUpdate(id, node.incarnation, Milliseconds(m_schedule.random().below(500)));
    scheduleTick(id, node.incarnation);
}

void ConfigurationFleet::pause(const std::string &id)
{
    FleetNode &node = m_nodes[id];
    if (!node.isUp || node.isPaused) {
        return;
    }
    node.isPaused = true;
    node.disruptedAt = m_schedule.now();
    for (auto &[other, peer] : m_nodes) {
        peer.unreachableSince.emplace(id, m_schedule.now());
    }
}

void ConfigurationFleet::resume(const std::string &id)
{
    FleetNode &node = m_nodes[id];
    if (!node.isUp || !node.isPaused) {
        return;
    }
    const bool wasLong = m_schedule.now() - node.disruptedAt > m_shape.parameters.pauseThreshold + m_shape.tickInterval;
    node.isPaused = false;
    node.disruptedAt = m_schedule.now();
    for (auto &[other, peer] : m_nodes) {
        if (!m_network.isPartitioned(id, other)) {
            peer.unreachableSince.erase(id);
        }
    }
    if (wasLong) {
        recordCatchUpStart(node);
    }
    const auto backlog = std::move(node.backlog);
    node.backlog.clear();
    for (const auto &action : backlog) {
        action();
    }
}

void ConfigurationFleet::partition(const std::set<std::string> &side)
{
    heal();
    m_network.partition(side);
    for (auto &[a, node] : m_nodes) {
        for (auto &[b, peer] : m_nodes) {
            if (m_network.isPartitioned(a, b)) {
                node.unreachableSince.emplace(b, m_schedule.now());
            }
        }
    }
}

void ConfigurationFleet::heal()
{
    for (auto &[a, node] : m_nodes) {
        for (auto &[b, peer] : m_nodes) {
            if (m_network.isPartitioned(a, b)) {
                node.healedAt[b] = m_schedule.now();
                if (peer.isUp && !peer.isPaused) {
                    node.unreachableSince.erase(b);
                }
            }
        }
    }
    m_network.heal();
}

void ConfigurationFleet::cutFromService(const std::string &id, bool isCut)
{
    m_nodes[id].isCutFromService = isCut;
    m_nodes[id].serviceAccessChangedAt = m_schedule.now();
}

Revision ConfigurationFleet::publish(bool isValid)
{
    const Publication publication{Revision(m_publications.size() + 1), m_schedule.now(), isValid};
    m_publications.push_back(publication);
    if (isValid) {
        m_lastValidRevision = publication.revision;
        m_schedule.after(propagationLimit, [this, publication] {
            checkPropagated(publication);
        });
    }
    m_service.publish(makeSnapshot(publication.revision, isValid));
    return publication.revision;
}

void ConfigurationFleet::run(FleetNode &node, const ConfigurationEffects &effects)
{
    for (const ConfigurationEffect &effect : effects) {
        std::visit(
            [this, &node](const auto &it) {
                handle(node, it);
            },
            effect);
    }
    checkReady(node);
}

void ConfigurationFleet::handle(FleetNode &node, const CallService &effect)
{
    const std::string id = node.self.id.value();
    const std::uint64_t incarnation = node.incarnation;
    m_service.call(
        effect,
        [this, id] {
            return !m_nodes[id].isCutFromService;
        },
        [this, id, incarnation](ConfigurationEvent event) {
            deliver(id, incarnation, std::move(event));
        });
}

void ConfigurationFleet::handle(FleetNode &node, const SendToPeer &effect)
{
    ++m_messageCount;
    m_network.send(node.self.id.value(), effect.to.value(), effect.message);
}

void ConfigurationFleet::handle(FleetNode &node, const FetchFromPeer &effect)
{
    ++m_fetchCount;
    const std::string id = node.self.id.value();
    const std::string from = effect.from.value();
    const std::uint64_t incarnation = node.incarnation;
    const Milliseconds time(2 + m_schedule.random().below(20));
    m_schedule.after(time, [this, id, from, incarnation, request = effect.request] {
        FleetNode &peer = m_nodes[from];
        const bool isUnresponsive = m_network.isPartitioned(id, from) || peer.isPaused;
        if (!peer.isUp || isUnresponsive) {
            m_schedule.after(isUnresponsive ? fetchTimeout : connectionRefusedDelay, [this, id, from, incarnation] {
                deliver(id, incarnation, FetchFailed{InstanceId(from)});
            });
            return;
        }
        deliver(id, incarnation, SnapshotReceived{InstanceId(from), answerRequest(*peer.state, request)});
    });
}

void ConfigurationFleet::handle(FleetNode &node, const ApplyConfiguration &effect)
{
    const Revision revision = effect.configuration.revision;
    if (revision <= node.highestRevision) {
        addViolation(node.self.id.value() + " went from revision " + std::to_string(node.highestRevision.count())
            + " to " + std::to_string(revision.count()));
    }
    node.highestRevision = std::max(node.highestRevision, revision);
    if (revision == m_publications.back().revision) {
        m_maxPropagationTime
            = std::max(m_maxPropagationTime, toMilliseconds(m_schedule.now() - m_publications.back().at));
    }
}

void ConfigurationFleet::handle(FleetNode &node, const ReportRejected &effect)
{
    if (++node.rejections[effect.revision] > 1) {
        addViolation(node.self.id.value() + " fetched and rejected revision " + std::to_string(effect.revision.count())
            + " again");
    }
}

void ConfigurationFleet::handle(FleetNode & /*node*/, const ReportStale & /*effect*/)
{
}

void ConfigurationFleet::handle(FleetNode &node, const ReportDiverged &effect)
{
    addViolation(
        node.self.id.value() + " detected different content under its current revision at " + effect.peer.value());
}

void ConfigurationFleet::deliver(const std::string &id, std::uint64_t incarnation, ConfigurationEvent event)
{
    FleetNode &node = m_nodes[id];
    if (!node.isUp || node.incarnation != incarnation) {
        return;
    }
    if (!node.isPaused) {
        run(node, step(*node.state, event, m_schedule.now()));
    } else if (node.backlog.size() < maxBacklog) {
        node.backlog.emplace_back([this, id, incarnation, event = std::move(event)] {
            deliver(id, incarnation, event);
        });
    }
}

void ConfigurationFleet::scheduleTick(const std::string &id, std::uint64_t incarnation)
{
    m_schedule.after(m_shape.tickInterval, [this, id, incarnation] {
        FleetNode &node = m_nodes[id];
        if (!node.isUp || node.incarnation != incarnation) {
            return;
        }
        if (!node.isPaused) {
            run(node, tick(*node.state, m_schedule.now()));
        }
        scheduleTick(id, incarnation);
    });
}

void ConfigurationFleet::scheduleViewUpdate(const std::string &id, std::uint64_t incarnation, Milliseconds delay)
{
    m_schedule.after(delay, [this, id, incarnation] {
        FleetNode &node = m_nodes[id];
        if (!node.isUp || node.incarnation != incarnation) {
            return;
        }
        if (!node.isPaused) {
            updateView(node);
        }
        scheduleViewUpdate(id, incarnation, viewInterval);
    });
}

void ConfigurationFleet::updateView(FleetNode &node)
{
    PeersChanged event;
    for (const auto &[id, peer] : m_nodes) {
        const auto since = node.unreachableSince.find(id);
        const bool isAlive
            = since == node.unreachableSince.end() || m_schedule.now() - since->second < failureDetectionTime;
        if (isAlive && id != node.self.id.value()) {
            event.peers.push_back(PeerInfo{peer.self.id, peer.self.dataCentre});
        }
    }
    // Like the controller, passes only changes to the core; the first view marks the peers as known.
    if (node.isViewKnown && event.peers == node.view) {
        return;
    }
    node.isViewKnown = true;
    node.view = event.peers;
    run(node, step(*node.state, event, m_schedule.now()));
}

} // namespace magnolia::testing
