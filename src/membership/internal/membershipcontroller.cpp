// Connects the core to its thread, the peer link and the blackboard. Sends and handler calls hold no lock.
#include "membership/internal/membershipcontroller.h"

#include "framework/logging/log.h"
#include "membership/internal/eventlog.h"
#include "peerlink/binarycodec.h"

#include <algorithm>

namespace magnolia::membership
{
namespace
{

constexpr std::string_view logModule = "membership";
constexpr Milliseconds tickInterval{100};

bool changesView(const MembershipEvent &event)
{
    return event.kind == EventKind::MemberChanged || event.kind == EventKind::MemberRemoved
        || event.kind == EventKind::UpstreamReportChanged;
}

} // namespace

std::unique_ptr<IMembership> makeMembership(const MembershipIdentity &identity, const MembershipParameters &parameters,
    peerlink::IPeerTransport &transport, Blackboard &blackboard, const IClock &clock, std::uint64_t seed)
{
    return std::make_unique<MembershipController>(identity, parameters, transport, blackboard, clock, seed);
}

MembershipController::MembershipController(const MembershipIdentity &identity, const MembershipParameters &parameters,
    peerlink::IPeerTransport &transport, Blackboard &blackboard, const IClock &clock, std::uint64_t seed)
    : m_transport(transport)
    , m_blackboard(blackboard)
    , m_clock(clock)
    , m_state(makeMembershipState(parameters, identity.instance, identity.incarnation, identity.peerAddress))
    , m_random(seed)
{
}

MembershipController::~MembershipController()
{
    stop();
}

void MembershipController::start()
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_isRunning) {
            return;
        }
        m_isRunning = true;
    }
    // The lock is not held because the link waits for running handlers, which may call the membership.
    m_transport.setDatagramHandler(peerlink::MessageType::Membership, [this](const auto &received) {
        handleMessage(received);
    });
    m_thread = std::thread([this] {
        run();
    });
}

void MembershipController::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_isRunning) {
            return;
        }
        m_isRunning = false;
    }
    m_stopCondition.notify_all();
    m_thread.join();
    m_transport.setDatagramHandler(peerlink::MessageType::Membership, {});
}

void MembershipController::announceLeave()
{
    const std::scoped_lock lock(m_mutex);
    membership::announceLeave(m_state);
    logging::write(logging::Level::Info, logModule, "leaving", {});
}

bool MembershipController::shareValue(const std::string &key, std::uint64_t version, const std::string &value)
{
    const std::scoped_lock lock(m_mutex);
    return membership::shareValue(m_state, key, version, value);
}

std::optional<SharedValue> MembershipController::sharedValue(const std::string &key) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_state.sharedValues.find(key);
    return it == m_state.sharedValues.end() ? std::nullopt : std::optional(it->second);
}

void MembershipController::setSharedValueHandler(SharedValueHandler handler)
{
    const std::scoped_lock lock(m_mutex);
    m_sharedValueHandler = std::move(handler);
}

void MembershipController::reportUpstream(const UpstreamId &upstream, bool isLeaving)
{
    applyChange([&](const ClockReading &now) {
        return membership::reportUpstream(m_state, upstream, isLeaving, now);
    });
}

void MembershipController::run()
{
    std::unique_lock lock(m_mutex);
    while (m_isRunning) {
        lock.unlock();
        tickOnce();
        lock.lock();
        m_stopCondition.wait_for(lock, tickInterval, [this] {
            return !m_isRunning;
        });
    }
}

void MembershipController::tickOnce()
{
    const auto list = m_blackboard.publishedList.read();
    if (list != m_appliedList && list->revision != 0) {
        applyChange([&](const ClockReading &now) {
            MembershipOutput output = applyPublishedList(m_state, *list, now);
            // A listed instance that never answered causes no event, but the view must show it as dead.
            m_blackboard.membership.write(makeMembershipView(m_state));
            return output;
        });
        m_appliedList = list;
    }
    applyChange([&](const ClockReading &now) {
        return tick(m_state, now, m_random);
    });
}

void MembershipController::handleMessage(const peerlink::ReceivedMessage &received)
{
    const auto message = peerlink::decode<MembershipMessage>(received.payload);
    if (!message) {
        logging::write(logging::Level::Warning, logModule, "malformed_message",
            {{"peer", std::string_view(received.sender.value())},
                {"reason", std::string_view(message.error().detail)}});
        return;
    }
    applyChange([&](const ClockReading &now) {
        return step(m_state, received.sender, *message, now);
    });
}

void MembershipController::applyChange(const std::function<MembershipOutput(const ClockReading &now)> &change)
{
    MembershipOutput output;
    {
        const std::scoped_lock lock(m_mutex);
        output = change({m_clock.monotonicNow(), m_clock.wallNow()});
        if (std::any_of(output.events.begin(), output.events.end(), changesView)) {
            m_blackboard.membership.write(makeMembershipView(m_state));
        }
    }
    executeOutput(output);
}

void MembershipController::executeOutput(const MembershipOutput &output)
{
    for (const MembershipEvent &event : output.events) {
        logEvent(event);
    }
    for (const OutgoingMessage &outgoing : output.messages) {
        // A message that cannot be sent is handled like a lost one: probing detects an unreachable peer.
        const auto sent
            = m_transport.send(outgoing.to, peerlink::MessageType::Membership, peerlink::encode(outgoing.message));
        if (!sent && sent.error().code != ResultCode::PeerUnreachable) {
            logging::write(logging::Level::Warning, logModule, "send_failed",
                {{"peer", std::string_view(outgoing.to.instance.value())},
                    {"reason", std::string_view(sent.error().detail)}});
        }
    }
    notifySharedValueHandler(output.events);
}

void MembershipController::notifySharedValueHandler(const std::vector<MembershipEvent> &events)
{
    for (const MembershipEvent &event : events) {
        if (event.kind != EventKind::SharedValueChanged) {
            continue;
        }
        SharedValueHandler handler;
        SharedValue value;
        {
            const std::scoped_lock lock(m_mutex);
            handler = m_sharedValueHandler;
            value = m_state.sharedValues[event.subject];
        }
        if (handler) {
            handler(event.subject, value);
        }
    }
}

} // namespace magnolia::membership
