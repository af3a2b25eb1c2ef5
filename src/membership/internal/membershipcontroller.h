// Runs the core: a tick thread, messages from the peer link, and the published list and view on the blackboard.
#pragma once

#include "membership/membershipcontroller.h"
#include "membership/membershipcore.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace magnolia::membership
{

class MembershipController : public IMembership
{
public:
    MembershipController(const MembershipIdentity &identity, const MembershipParameters &parameters,
        peerlink::IPeerTransport &transport, Blackboard &blackboard, const IClock &clock, std::uint64_t seed);
    ~MembershipController() override;
    MembershipController(const MembershipController &) = delete;
    MembershipController &operator=(const MembershipController &) = delete;

    void start() override;
    void stop() override;
    void announceLeave() override;
    [[nodiscard]] bool shareValue(const std::string &key, std::uint64_t version, const std::string &value) override;
    [[nodiscard]] std::optional<SharedValue> sharedValue(const std::string &key) const override;
    void setSharedValueHandler(SharedValueHandler handler) override;
    void reportUpstream(const UpstreamId &upstream, bool isLeaving) override;

private:
    void run();
    void tickOnce();
    void handleMessage(const peerlink::ReceivedMessage &received);
    /** Changes the state under the lock, then executes the returned output without it. */
    void applyChange(const std::function<MembershipOutput(const ClockReading &now)> &change);
    void executeOutput(const MembershipOutput &output);
    void notifySharedValueHandler(const std::vector<MembershipEvent> &events);

    peerlink::IPeerTransport &m_transport;
    Blackboard &m_blackboard;
    const IClock &m_clock;

    mutable std::mutex m_mutex;
    // All members down to m_stopCondition are guarded by m_mutex.
    MembershipState m_state;
    Random m_random;
    SharedValueHandler m_sharedValueHandler;
    bool m_isRunning = false;
    std::condition_variable m_stopCondition;
    std::thread m_thread;
    // Used by m_thread only.
    std::shared_ptr<const PublishedList> m_appliedList;
};

} // namespace magnolia::membership
