// Joins the ownership of idempotency keys to the blackboard, the requests and the link to other instances.
#pragma once

#include "blackboard/blackboard.h"
#include "entry/ikeygate.h"
#include "framework/global/iclock.h"
#include "idempotency/keycontroller.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <variant>

namespace magnolia::peerlink
{
class IPeerTransport;
}

namespace magnolia::entry
{

class KeyGate : public IKeyGate, private idempotency::IHandoverTransport
{
public:
    KeyGate(InstanceId self, Incarnation incarnation, const Blackboard &blackboard, const IClock &clock,
        peerlink::IPeerTransport &transport);
    ~KeyGate() override;

    /** Begins to follow the published list and to hand over keys. */
    void start();
    /** Gives all keys up to their next owners, before a planned stop. */
    void stopOwning();
    /** Whether parts of a handover are still under way. */
    [[nodiscard]] bool isHandingOver() const;

    [[nodiscard]] KeyDecision begin(const CallerRequest &request) override;
    [[nodiscard]] Result<void> confirmDispatch(const CallerRequest &request, const KeyGranted &grant) override;
    void complete(const CallerRequest &request, const KeyGranted &grant, const KeyReplay &answer) override;
    void loseAnswer(const CallerRequest &request, const KeyGranted &grant) override;
    void retract(const CallerRequest &request, const KeyGranted &grant) override;
    [[nodiscard]] Outcome close(const CallerRequest &request, const KeyGranted &grant) override;

private:
    /** What one instance tells another about keys. */
    using HandoverMessage = std::variant<idempotency::HandoverPart, idempotency::HandedOverKey>;

    struct Outgoing
    {
        InstanceId receiver;
        HandoverMessage message;
    };

    // Called by the key owner, with m_mutex held.
    void send(const InstanceId &receiver, const idempotency::HandoverPart &part) override;
    void send(const InstanceId &giver, const idempotency::HandoverAck &ack) override;
    void send(const InstanceId &owner, const idempotency::HandedOverKey &ended) override;

    void run();
    void enqueue(const InstanceId &receiver, HandoverMessage message);
    void deliver(const Outgoing &outgoing);
    [[nodiscard]] Result<std::string> takeMessage(const std::string &payload);
    [[nodiscard]] idempotency::Permit permitOf(const CallerRequest &request, const KeyGranted &grant) const;
    [[nodiscard]] const PublishedInstance *findEntry(const PublishedList &list, const InstanceId &id) const;

    static constexpr Milliseconds tickInterval{200};
    static constexpr Milliseconds handoverTimeout{1000};
    // A receiver that did not answer is left alone for so long; the owner sends the part again.
    static constexpr Milliseconds receiverPause{2000};
    static constexpr std::size_t maxOutgoing = 10'000;

    const Blackboard &m_blackboard;
    const IClock &m_clock;
    peerlink::IPeerTransport &m_transport;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    idempotency::KeyController m_owner;
    std::deque<Outgoing> m_outgoing;
    // Of the thread: receivers that did not answer, and until when they are left alone.
    std::map<InstanceId, MonoTime> m_pausedReceivers;
    // Set by the key owner while it takes a part in.
    std::optional<idempotency::HandoverAck> m_ack;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace magnolia::entry
