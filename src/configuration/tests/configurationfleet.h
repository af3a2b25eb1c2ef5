// Entry instances that run the core of the configuration against a fake service, and watch over the promise
// "a change that was accepted is in force everywhere within seconds and never reverts".
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

/** The promise: in force on every reachable entry this long after it was published. */
constexpr Milliseconds propagationLimit{5'000};

struct Publish
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

/** One place of an entry instance; a restart there is a new incarnation with empty memory. */
struct FleetNode
{
    configuration::Self self;
    std::unique_ptr<configuration::ConfigurationState> state;
    std::uint64_t incarnation = 0;
    bool isUp = false;
    bool isPaused = false;
    bool isCutFromService = false;
    MonoTime disturbedAt{};
    MonoTime serviceDisturbedAt{};
    /** What arrived during a pause. */
    std::vector<std::function<void()>> backlog;
    /** Peers out of reach, and since when. */
    std::map<std::string, MonoTime> unreachableSince;
    std::map<std::string, MonoTime> healedAt;

    /** Revisions of reachable ready peers when the last roll call began: what it must not miss. */
    MonoTime rollCallAt{};
    std::map<std::string, Revision> heldByPeers;
    bool wasReady = false;
    Revision highest;
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
    /** What went wrong, in order; empty: nothing. */
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
        return m_publishes.size();
    }
    /** Longest time from a publish until an instance had the latest revision in force. */
    [[nodiscard]] Milliseconds maxPropagationTime() const
    {
        return m_maxPropagationTime;
    }

    void startAll();
    void crash(const std::string &id);
    void start(const std::string &id);
    void pause(const std::string &id);
    void resume(const std::string &id);
    void partition(const std::set<std::string> &oneSide);
    void heal();
    void cutFromService(const std::string &id, bool isCut);

    /** Publishes the next revision and has it checked after its time. */
    Revision publish(bool isValid);
    /** Notes a violation for each instance that is not ready with the latest valid revision. */
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
    void tickLater(const std::string &id, std::uint64_t incarnation);
    void viewLater(const std::string &id, std::uint64_t incarnation, Milliseconds delay);
    void updateView(FleetNode &node);
    void noteRollCall(FleetNode &node);
    void checkReady(FleetNode &node);
    void checkInForce(const Publish &publish);
    [[nodiscard]] bool couldBeSeen(const Publish &publish) const;
    [[nodiscard]] bool canWatch(FleetNode &node, MonoTime since);
    [[nodiscard]] bool isLinkedSince(const FleetNode &a, const FleetNode &b, MonoTime since) const;
    [[nodiscard]] bool isObliged(FleetNode &node, MonoTime publishedAt);
    void violate(const std::string &text);

    FleetShape m_shape;
    Schedule m_schedule;
    FakeConfigurationService m_service;
    FakeNetwork<configuration::ConfigurationMessage> m_network;
    std::map<std::string, FleetNode> m_nodes;
    std::vector<std::string> m_violations;
    // Invariant: ascending by revision and time.
    std::vector<Publish> m_publishes;
    Revision m_lastValid;
    std::uint64_t m_messageCount = 0;
    std::uint64_t m_fetchCount = 0;
    Milliseconds m_maxPropagationTime{0};
};

} // namespace magnolia::testing
