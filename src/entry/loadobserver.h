// Requests load reports from upstreams, writes them to the blackboard and exchanges them with peers.
#pragma once

#include "blackboard/blackboard.h"
#include "framework/global/iclock.h"
#include "framework/global/types/ids.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace magnolia::peerlink
{
class IPeerTransport;
}

namespace magnolia::upstreams
{
class IUpstreamClient;
}

namespace magnolia::entry
{

class UpstreamHealthTracker;

/**
 * Each upstream is observed by one entry instance of its data centre, which sends the load rows to the other entry
 * instances there. If that instance stops, its upstreams are reassigned as soon as the membership view shows it.
 */
class LoadObserver
{
public:
    LoadObserver(InstanceId self, DataCentreId dataCentre, Blackboard &blackboard, const IClock &clock,
        upstreams::IUpstreamClient &client, peerlink::IPeerTransport &transport, UpstreamHealthTracker &health);
    ~LoadObserver();
    LoadObserver(const LoadObserver &) = delete;
    LoadObserver &operator=(const LoadObserver &) = delete;

    void start();

private:
    void run(std::size_t worker);
    void observeRound(std::size_t worker);
    void observe(const PublishedInstance &upstream);
    void sendRowsToPeers();
    [[nodiscard]] static Milliseconds rowSendInterval(std::size_t peers, std::size_t payloadBytes);
    void receiveRows(const std::string &payload);
    [[nodiscard]] std::vector<PublishedInstance> assigned() const;

    static constexpr Milliseconds roundInterval{250};
    static constexpr Milliseconds queryTimeout{300};
    // An unresponsive upstream blocks its worker until the timeout; other workers keep the other reports up to date.
    static constexpr std::size_t workerCount = 4;
    static constexpr std::size_t maxRowsInDatagram = 80;
    // Part of an instance's budget of 2 KB per second for control traffic.
    static constexpr std::size_t maxRowBytesPerSecond = 700;
    // Envelope, authentication tag and UDP and IP headers of a datagram.
    static constexpr std::size_t envelopeBytes = 150;

    InstanceId m_self;
    DataCentreId m_dataCentre;
    Blackboard &m_blackboard;
    const IClock &m_clock;
    upstreams::IUpstreamClient &m_client;
    peerlink::IPeerTransport &m_transport;
    UpstreamHealthTracker &m_health;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    // Serialises updates of the load section, which is read, changed and written as a whole.
    std::mutex m_tableMutex;
    bool m_isStopping = false;
    // Used by the first worker only.
    MonoTime m_nextSendAt{};
    std::vector<std::thread> m_threads;
};

} // namespace magnolia::entry
