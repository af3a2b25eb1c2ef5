// Asks upstreams for their load and writes what they report to the blackboard.
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
 * Each upstream is asked by one entry of its data centre, which sends the rows to the others there. An entry without
 * rows from a peer that has gone asks by itself as soon as the membership view says so.
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
    // A frozen upstream costs its asker a timeout; several askers keep the others' reports fresh meanwhile.
    static constexpr std::size_t workerCount = 4;
    static constexpr std::size_t maxRowsInDatagram = 80;
    // Share of the 2 KB a second that an instance may spend on control.
    static constexpr std::size_t maxRowBytesPerSecond = 700;
    /** Envelope, authentication, UDP and IP around the rows. */
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
    // Serialises changes of the load and health sections, which are read, changed and written as a whole.
    std::mutex m_tableMutex;
    bool m_isStopping = false;
    // Of the first worker.
    MonoTime m_nextSendAt{};
    std::vector<std::thread> m_threads;
};

} // namespace magnolia::entry
