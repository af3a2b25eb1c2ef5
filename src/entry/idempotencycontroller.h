// Connects the at-most-once dispatch of keyed requests to the blackboard, the requests and the peers.
#pragma once

#include "blackboard/blackboard.h"
#include "entry/iidempotencycontroller.h"
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

class IdempotencyController : public IIdempotencyController, private idempotency::IHandoverTransport
{
public:
    IdempotencyController(InstanceId self, Incarnation incarnation, const Blackboard &blackboard, const IClock &clock,
        peerlink::IPeerTransport &transport);
    ~IdempotencyController() override;

    /** Starts to apply the published list and to hand over keys to peers. */
    void start();
    /** Hands over all keys to their next owners before a planned stop. */
    void stopOwning();
    /** Returns whether parts of a handover are still unacknowledged. */
    [[nodiscard]] bool isHandingOver() const;

    [[nodiscard]] KeyDecision begin(const CallerRequest &request) override;
    [[nodiscard]] Result<void> confirmDispatch(const CallerRequest &request, const KeyGranted &grant) override;
    void complete(const CallerRequest &request, const KeyGranted &grant, const KeyReplay &answer) override;
    void loseAnswer(const CallerRequest &request, const KeyGranted &grant) override;
    void retract(const CallerRequest &request, const KeyGranted &grant) override;
    [[nodiscard]] Outcome close(const CallerRequest &request, const KeyGranted &grant) override;

private:
    /** Message between instances about keys. */
    using HandoverMessage = std::variant<idempotency::HandoverPart, idempotency::HandedOverKey>;

    struct Outgoing
    {
        InstanceId receiver;
        HandoverMessage message;
    };

    // Called by m_keyController while m_mutex is locked.
    void send(const InstanceId &receiver, const idempotency::HandoverPart &part) override;
    void send(const InstanceId &giver, const idempotency::HandoverAck &ack) override;
    void send(const InstanceId &owner, const idempotency::HandedOverKey &ended) override;

    void run();
    void enqueue(const InstanceId &receiver, HandoverMessage message);
    void deliver(const Outgoing &outgoing);
    [[nodiscard]] Result<std::string> handleMessage(const std::string &payload);
    [[nodiscard]] idempotency::Permit permitOf(const CallerRequest &request, const KeyGranted &grant) const;
    [[nodiscard]] const PublishedInstance *findEntry(const PublishedList &list, const InstanceId &id) const;

    static constexpr Milliseconds tickInterval{200};
    static constexpr Milliseconds handoverTimeout{1000};
    // Time without messages to a receiver that did not answer; unacknowledged parts are sent again later.
    static constexpr Milliseconds receiverCooldown{2000};
    static constexpr std::size_t maxOutgoing = 10'000;

    const Blackboard &m_blackboard;
    const IClock &m_clock;
    peerlink::IPeerTransport &m_transport;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    idempotency::KeyController m_keyController;
    std::deque<Outgoing> m_outgoing;
    // Receivers that did not answer, with the end of their cooldown. Used by m_thread only.
    std::map<InstanceId, MonoTime> m_receiverCooldowns;
    // Set by m_keyController while it handles a received part.
    std::optional<idempotency::HandoverAck> m_ack;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace magnolia::entry
