// The fleet of the tests: orders events, pauses, crashes and cuts, and checks what comes out.
#include "configuration/tests/configurationfleet.h"

#include <algorithm>

namespace magnolia::testing
{

using namespace magnolia::configuration;

namespace
{

/** Membership takes this long to find a peer that went. */
constexpr Milliseconds detectionTime{3'000};
constexpr Milliseconds viewInterval{1'000};
constexpr Milliseconds refusedConnection{5};
constexpr Milliseconds fetchTimeout{1'000};
constexpr std::size_t largestBacklog = 200;

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
    for (std::size_t centre = 0; centre < m_shape.dataCentres; ++centre) {
        for (std::size_t i = 0; i < m_shape.entriesPerDataCentre; ++i) {
            const std::string id = "e" + std::to_string(centre) + "-" + std::to_string(i);
            FleetNode &node = m_nodes[id];
            node.self = Self{InstanceId(id), DataCentreId("dc" + std::to_string(centre)), m_shape.replicas};
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
    node.disturbedAt = m_schedule.now();
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
    node.disturbedAt = m_schedule.now();
    node.highest = Revision();
    node.wasReady = false;
    node.rejections.clear();
    node.isViewKnown = false;
    node.state = std::make_unique<ConfigurationState>(node.self, m_shape.parameters, m_schedule.random().next());
    configuration::start(*node.state, m_schedule.now());
    for (auto &[other, peer] : m_nodes) {
        if (!m_network.isCut(id, other)) {
            peer.unreachableSince.erase(id);
        }
    }
    noteRollCall(node);
    viewLater(id, node.incarnation, Milliseconds(m_schedule.random().below(500)));
    tickLater(id, node.incarnation);
}

void ConfigurationFleet::pause(const std::string &id)
{
    FleetNode &node = m_nodes[id];
    if (!node.isUp || node.isPaused) {
        return;
    }
    node.isPaused = true;
    node.disturbedAt = m_schedule.now();
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
    const bool wasLong = m_schedule.now() - node.disturbedAt > m_shape.parameters.pauseThreshold + m_shape.tickInterval;
    node.isPaused = false;
    node.disturbedAt = m_schedule.now();
    for (auto &[other, peer] : m_nodes) {
        if (!m_network.isCut(id, other)) {
            peer.unreachableSince.erase(id);
        }
    }
    if (wasLong) {
        noteRollCall(node);
    }
    const auto backlog = std::move(node.backlog);
    node.backlog.clear();
    for (const auto &action : backlog) {
        action();
    }
}

void ConfigurationFleet::partition(const std::set<std::string> &oneSide)
{
    heal();
    m_network.partition(oneSide);
    for (auto &[a, node] : m_nodes) {
        for (auto &[b, peer] : m_nodes) {
            if (m_network.isCut(a, b)) {
                node.unreachableSince.emplace(b, m_schedule.now());
            }
        }
    }
}

void ConfigurationFleet::heal()
{
    for (auto &[a, node] : m_nodes) {
        for (auto &[b, peer] : m_nodes) {
            if (m_network.isCut(a, b)) {
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
    m_nodes[id].serviceDisturbedAt = m_schedule.now();
}

Revision ConfigurationFleet::publish(bool isValid)
{
    const Publish publish{Revision(m_publishes.size() + 1), m_schedule.now(), isValid};
    m_publishes.push_back(publish);
    if (isValid) {
        m_lastValid = publish.revision;
        m_schedule.after(propagationLimit, [this, publish] {
            checkInForce(publish);
        });
    }
    m_service.publish(makeSnapshot(publish.revision, isValid));
    return publish.revision;
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
        const bool isSilent = m_network.isCut(id, from) || peer.isPaused;
        if (!peer.isUp || isSilent) {
            m_schedule.after(isSilent ? fetchTimeout : refusedConnection, [this, id, from, incarnation] {
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
    if (revision <= node.highest) {
        violate(node.self.id.value() + " went from revision " + std::to_string(node.highest.count()) + " to "
            + std::to_string(revision.count()));
    }
    node.highest = std::max(node.highest, revision);
    if (revision == m_publishes.back().revision) {
        m_maxPropagationTime = std::max(m_maxPropagationTime, toMilliseconds(m_schedule.now() - m_publishes.back().at));
    }
}

void ConfigurationFleet::handle(FleetNode &node, const ReportRejected &effect)
{
    if (++node.rejections[effect.revision] > 1) {
        violate(node.self.id.value() + " fetched and refused revision " + std::to_string(effect.revision.count())
            + " again");
    }
}

void ConfigurationFleet::handle(FleetNode & /*node*/, const ReportStale & /*effect*/)
{
}

void ConfigurationFleet::handle(FleetNode &node, const ReportDiverged &effect)
{
    violate(node.self.id.value() + " sees other content at " + effect.peer.value());
}

void ConfigurationFleet::deliver(const std::string &id, std::uint64_t incarnation, ConfigurationEvent event)
{
    FleetNode &node = m_nodes[id];
    if (!node.isUp || node.incarnation != incarnation) {
        return;
    }
    if (!node.isPaused) {
        run(node, step(*node.state, event, m_schedule.now()));
    } else if (node.backlog.size() < largestBacklog) {
        node.backlog.emplace_back([this, id, incarnation, event = std::move(event)] {
            deliver(id, incarnation, event);
        });
    }
}

void ConfigurationFleet::tickLater(const std::string &id, std::uint64_t incarnation)
{
    m_schedule.after(m_shape.tickInterval, [this, id, incarnation] {
        FleetNode &node = m_nodes[id];
        if (!node.isUp || node.incarnation != incarnation) {
            return;
        }
        if (!node.isPaused) {
            run(node, tick(*node.state, m_schedule.now()));
        }
        tickLater(id, incarnation);
    });
}

void ConfigurationFleet::viewLater(const std::string &id, std::uint64_t incarnation, Milliseconds delay)
{
    m_schedule.after(delay, [this, id, incarnation] {
        FleetNode &node = m_nodes[id];
        if (!node.isUp || node.incarnation != incarnation) {
            return;
        }
        if (!node.isPaused) {
            updateView(node);
        }
        viewLater(id, incarnation, viewInterval);
    });
}

void ConfigurationFleet::updateView(FleetNode &node)
{
    PeersChanged event;
    for (const auto &[id, peer] : m_nodes) {
        const auto since = node.unreachableSince.find(id);
        const bool isAlive = since == node.unreachableSince.end() || m_schedule.now() - since->second < detectionTime;
        if (isAlive && id != node.self.id.value()) {
            event.peers.push_back(PeerInfo{peer.self.id, peer.self.dataCentre});
        }
    }
    // As the controller, which tells the core only of changes; the first view tells that peers are known.
    if (node.isViewKnown && event.peers == node.view) {
        return;
    }
    node.isViewKnown = true;
    node.view = event.peers;
    run(node, step(*node.state, event, m_schedule.now()));
}

} // namespace magnolia::testing
