// Runs the configuration distribution with threads, the platform's service and the peers, and keeps the configuration
// on the blackboard up to date.
#pragma once

#include "blackboard/blackboard.h"
#include "configuration/configurationcore.h"
#include "configuration/iconfigurationpeers.h"
#include "configuration/types/configurationstatus.h"
#include "framework/global/iclock.h"
#include "ports/iconfigurationservice.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace magnolia::configuration
{

class Worker;

class ConfigurationController
{
public:
    /** All references must outlive the controller. `self.replicas` is taken from the service. */
    ConfigurationController(Blackboard &blackboard, ports::IConfigurationService &service, IConfigurationPeers &peers,
        const IClock &clock, Self self, ConfigurationParameters parameters, std::uint64_t seed);
    /** Calls `stop`. */
    ~ConfigurationController();
    ConfigurationController(const ConfigurationController &) = delete;
    ConfigurationController &operator=(const ConfigurationController &) = delete;

    void start();
    /** Stops all threads. Waits for a call to the service that is in flight, at most until it times out. */
    void stop();

    /** Handles a message from a peer. Thread-safe; only queues the message. */
    void receive(const InstanceId &from, const ConfigurationMessage &message);
    /** Returns the answer to a peer's request. Thread-safe. */
    [[nodiscard]] SnapshotAnswer answer(const SnapshotRequest &request) const;

    /** See `isReady` in configurationcore.h. Thread-safe. */
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] ConfigurationStatus status() const;

private:
    void run();
    void post(ConfigurationEvent event);
    void handleEvent(const ConfigurationEvent &event);
    void tickOnce();
    void updatePeers();
    void execute(const ConfigurationEffects &effects);
    void execute(const CallService &effect);
    void execute(const SendToPeer &effect);
    void execute(const FetchFromPeer &effect);
    void execute(const ApplyConfiguration &effect);
    void execute(const ReportRejected &effect);
    void execute(const ReportStale &effect);
    void execute(const ReportDiverged &effect);
    void callService(const CallService &effect);
    void recordServiceResult(const Error *error);
    void logChanges();

    Blackboard &m_blackboard;
    ports::IConfigurationService &m_service;
    IConfigurationPeers &m_peers;
    const IClock &m_clock;

    mutable std::mutex m_stateMutex;
    // Guarded by m_stateMutex; modified by the controller's thread only.
    ConfigurationState m_state;

    std::mutex m_queueMutex;
    std::condition_variable m_queueChanged;
    // Invariant: at most maxQueuedEvents. Further events are dropped, which the protocol tolerates like lost datagrams.
    std::deque<ConfigurationEvent> m_queuedEvents;
    bool m_isStopping = false;

    // Accessed by the controller's thread only.
    std::vector<PeerInfo> m_lastPeers;
    bool m_arePeersKnown = false;
    bool m_wasReady = false;
    bool m_wasWatcher = false;
    // Accessed by the thread of m_serviceWorker only.
    bool m_isServiceLost = false;

    std::atomic<std::uint64_t> m_serviceCalls{0};
    std::atomic<std::uint64_t> m_serviceFailures{0};
    std::atomic<std::uint64_t> m_messagesSent{0};
    std::atomic<std::uint64_t> m_fetches{0};
    std::atomic<std::uint64_t> m_rejections{0};

    std::unique_ptr<Worker> m_serviceWorker;
    std::unique_ptr<Worker> m_fetchWorker;
    std::thread m_thread;
};

} // namespace magnolia::configuration
