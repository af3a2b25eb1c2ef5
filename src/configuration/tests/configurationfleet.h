// Simulated fleet of entry instances that run the configuration core against a fake service. Checks the guarantee that
// an accepted change is applied everywhere within seconds and never reverted.
#pragma once

#include "configuration/configurationcore.h"
#include "configuration/tests/fakeconfigurationservice.h"
#include "framework/testing/schedule.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace magnolia::testing
{

/** Time after its publication in which a change must be applied on every reachable entry instance. */
constexpr Milliseconds propagationLimit{5'000};

struct Publication
{
    Revision revision;
    MonoTime at{};
    bool isValid = true;
};

struct FleetShape
{
    std::size_t dataCentres = 3;
    std::size_t entriesPerDataCentre = 3;
    std::size_t replicas = 2;
    Milliseconds tickInterval{100};
    configuration::ConfigurationParameters parameters;
};

/** One entry instance of the fleet. A restart is a new incarnation with empty state. */
struct FleetNode
{
    configuration::Self self;
    std::unique_ptr<configuration::ConfigurationState> state;
    std::uint64_t incarnation = 0;
    bool isUp = false;
    bool isPaused = false;
    bool isCutFromService = false;
    /** When the node last crashed, started, paused or resumed. */
    MonoTime disruptedAt{};
    MonoTime serviceAccessChangedAt{};
    /** Events that arrived during a pause. */
    std::vector<std::function<void()>> backlog;
    /** Unreachable peers, and since when. */
    std::map<std::string, MonoTime> unreachableSince;
    std::map<std::string, MonoTime> healedAt;

    /** Start of the last catch-up, and the revisions of the reachable ready peers then, which it must not miss. */
    MonoTime catchUpStartedAt{};
    std::map<std::string, Revision> peerRevisions;
    bool wasReady = false;
    Revision highestRevision;
    std::map<Revision, int> rejections;
    std::vector<configuration::PeerInfo> view;
    bool isViewKnown = false;
};

class ConfigurationFleet
{
public:
    ConfigurationFleet(std::uint64_t seed, FleetShape shape);

    Schedule &schedule()
    {
        return m_schedule;
    }
    FakeConfigurationService &service()
    {
        return m_service;
    }
    FakeNetwork<configuration::ConfigurationMessage> &network()
    {
        return m_network;
    }
    std::map<std::string, FleetNode> &nodes()
    {
        return m_nodes;
    }
    /** Descriptions of the violations found, in order. */
    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    [[nodiscard]] std::uint64_t messageCount() const
    {
        return m_messageCount;
    }
    [[nodiscard]] std::uint64_t fetchCount() const
    {
        return m_fetchCount;
    }
    [[nodiscard]] std::size_t publishCount() const
    {
        return m_publications.size();
    }
    /** Longest time from the publication of the latest revision until an instance applied it. */
    [[nodiscard]] Milliseconds maxPropagationTime() const
    {
        return m_maxPropagationTime;
    }

    void startAll();
    void crash(const std::string &id);
    void start(const std::string &id);
    void pause(const std::string &id);
    void resume(const std::string &id);
    void partition(const std::set<std::string> &side);
    void heal();
    void cutFromService(const std::string &id, bool isCut);

    /** Publishes the next revision and, if it is valid, checks after `propagationLimit` that it was applied. */
    Revision publish(bool isValid);
    /** Adds a violation for each instance that is not ready with the latest valid revision. */
    void checkSettled();
    [[nodiscard]] bool isAppliedEverywhere(Revision revision) const;

private:
    void run(FleetNode &node, const configuration::ConfigurationEffects &effects);
    void handle(FleetNode &node, const configuration::CallService &effect);
    void handle(FleetNode &node, const configuration::SendToPeer &effect);
    void handle(FleetNode &node, const configuration::FetchFromPeer &effect);
    void handle(FleetNode &node, const configuration::ApplyConfiguration &effect);
    void handle(FleetNode &node, const configuration::ReportRejected &effect);
    void handle(FleetNode &node, const configuration::ReportStale &effect);
    void handle(FleetNode &node, const configuration::ReportDiverged &effect);

    void deliver(const std::string &id, std::uint64_t incarnation, configuration::ConfigurationEvent event);
    void scheduleTick(const std::string &id, std::uint64_t incarnation);
    void scheduleViewUpdate(const std::string &id, std::uint64_t incarnation, Milliseconds delay);
    void updateView(FleetNode &node);
    void recordCatchUpStart(FleetNode &node);
    void checkReady(FleetNode &node);
    void checkPropagated(const Publication &publication);
    [[nodiscard]] bool wasObservable(const Publication &publication) const;
    [[nodiscard]] bool canWatch(FleetNode &node, MonoTime since);
    [[nodiscard]] bool isLinkedSince(const FleetNode &a, const FleetNode &b, MonoTime since) const;
    [[nodiscard]] bool mustBePropagatedTo(FleetNode &node, MonoTime publishedAt);
    void addViolation(const std::string &text);

    FleetShape m_shape;
    Schedule m_schedule;
    FakeConfigurationService m_service;
    FakeNetwork<configuration::ConfigurationMessage> m_network;
    std::map<std::string, FleetNode> m_nodes;
    std::vector<std::string> m_violations;
    // Invariant: ascending by revision and time.
    std::vector<Publication> m_publications;
    Revision m_lastValidRevision;
    std::uint64_t m_messageCount = 0;
    std::uint64_t m_fetchCount = 0;
    Milliseconds m_maxPropagationTime{0};
};

} // namespace magnolia::testing
