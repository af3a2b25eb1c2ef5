// Joins the ownership of idempotency keys to the blackboard, the requests and the link to other instances.
#include "entry/keygate.h"

#include "framework/global/hashing.h"
#include "framework/logging/log.h"
#include "idempotency/uuidv7.h"
#include "peerlink/binarycodec.h"
#include "peerlink/ipeertransport.h"

#include <cereal/types/variant.hpp>

#include <algorithm>

namespace magnolia::entry
{

namespace
{

std::uint64_t hashOf(const CallerRequest &request)
{
    const std::string head = request.method + '\n' + request.callerPath + '\n' + request.workClass.id.value();
    return stableHash(request.body ? std::string_view(*request.body) : std::string_view(), stableHash(head));
}

idempotency::KeyName nameOf(const CallerRequest &request)
{
    return {request.organisation, idempotency::canonicalKey(request.key.value_or(IdempotencyKey()))};
}

KeyRefused toRefused(const idempotency::KeyRefusal &refusal)
{
    return {idempotency::toError(refusal), refusal.thisAttempt};
}

} // namespace

KeyGate::KeyGate(InstanceId self, Incarnation incarnation, const Blackboard &blackboard, const IClock &clock,
    peerlink::IPeerTransport &transport)
    : m_blackboard(blackboard)
    , m_clock(clock)
    , m_transport(transport)
    , m_owner(std::move(self), incarnation, clock.wallNow(), idempotency::KeyParameters(), *this)
{
}

KeyGate::~KeyGate()
{
    m_transport.setRequestHandler(peerlink::MessageType::KeyHandover, {});
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void KeyGate::start()
{
    m_transport.setRequestHandler(peerlink::MessageType::KeyHandover, [this](const peerlink::ReceivedMessage &message) {
        return takeMessage(message.payload);
    });
    m_thread = std::thread([this] {
        run();
    });
}

void KeyGate::stopOwning()
{
    const std::scoped_lock lock(m_mutex);
    m_owner.stopOwning(m_clock.wallNow());
    m_wake.notify_all();
}

bool KeyGate::isHandingOver() const
{
    const std::scoped_lock lock(m_mutex);
    return m_owner.isHandingOver();
}

KeyDecision KeyGate::begin(const CallerRequest &request)
{
    const idempotency::KeyedRequest keyed{nameOf(request), hashOf(request), !request.relayed.empty()};
    const std::scoped_lock lock(m_mutex);
    const auto list = m_blackboard.publishedList.read();
    m_owner.applyList(*list, m_clock.wallNow());
    const auto decision = m_owner.begin(keyed, m_clock.wallNow());
    if (const auto *run = std::get_if<idempotency::RunLocally>(&decision)) {
        return KeyGranted{run->permit.attempt};
    }
    if (const auto *replay = std::get_if<idempotency::Replay>(&decision)) {
        return KeyReplay{replay->answer.status, replay->answer.contentType, replay->answer.body};
    }
    if (const auto *refusal = std::get_if<idempotency::KeyRefusal>(&decision)) {
        return toRefused(*refusal);
    }
    const InstanceId &owner = std::get<idempotency::RelayTo>(decision).owner;
    const PublishedInstance *entry = findEntry(*list, owner);
    if (entry == nullptr) {
        return toRefused({ResultCode::KeyOwnerUnreachable, Outcome::Unknown, Outcome::NotRun, tickInterval});
    }
    return KeyOwnedBy{owner, entry->address};
}

Result<void> KeyGate::confirmDispatch(const CallerRequest &request, const KeyGranted &grant)
{
    const std::scoped_lock lock(m_mutex);
    m_owner.applyList(*m_blackboard.publishedList.read(), m_clock.wallNow());
    if (const auto check = m_owner.confirmDispatch(permitOf(request, grant), m_clock.wallNow()); !check) {
        return tl::unexpected(idempotency::toError(check.error()));
    }
    return {};
}

void KeyGate::complete(const CallerRequest &request, const KeyGranted &grant, const KeyReplay &answer)
{
    const std::scoped_lock lock(m_mutex);
    m_owner.complete(permitOf(request, grant), {answer.status, answer.contentType, answer.body});
}

void KeyGate::loseAnswer(const CallerRequest &request, const KeyGranted &grant)
{
    const std::scoped_lock lock(m_mutex);
    m_owner.loseAnswer(permitOf(request, grant));
}

void KeyGate::retract(const CallerRequest &request, const KeyGranted &grant)
{
    const std::scoped_lock lock(m_mutex);
    m_owner.retract(permitOf(request, grant));
}

Outcome KeyGate::close(const CallerRequest &request, const KeyGranted &grant)
{
    const std::scoped_lock lock(m_mutex);
    const idempotency::Permit permit = permitOf(request, grant);
    if (m_owner.closeNotRun(permit, m_clock.wallNow())) {
        return Outcome::NotRun;
    }
    m_owner.abandon(permit);
    return Outcome::Unknown;
}

idempotency::Permit KeyGate::permitOf(const CallerRequest &request, const KeyGranted &grant) const
{
    return {nameOf(request), grant.attempt};
}

const PublishedInstance *KeyGate::findEntry(const PublishedList &list, const InstanceId &id) const
{
    const auto it = std::find_if(list.instances.begin(), list.instances.end(), [&id](const PublishedInstance &one) {
        return one.role == InstanceRole::Entry && one.id == id.value();
    });
    return it == list.instances.end() ? nullptr : &*it;
}

void KeyGate::send(const InstanceId &receiver, const idempotency::HandoverPart &part)
{
    enqueue(receiver, part);
}

void KeyGate::send(const InstanceId &owner, const idempotency::HandedOverKey &ended)
{
    enqueue(owner, ended);
}

void KeyGate::send(const InstanceId & /*giver*/, const idempotency::HandoverAck &ack)
{
    m_ack = ack;
}

void KeyGate::enqueue(const InstanceId &receiver, HandoverMessage message)
{
    // What does not fit is sent again by the owner's next tick.
    if (m_outgoing.size() < maxOutgoing) {
        m_outgoing.push_back({receiver, std::move(message)});
    }
}

void KeyGate::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_owner.applyList(*m_blackboard.publishedList.read(), m_clock.wallNow());
        m_owner.tick(m_clock.wallNow());
        while (!m_outgoing.empty() && !m_isStopping) {
            const Outgoing outgoing = std::move(m_outgoing.front());
            m_outgoing.pop_front();
            lock.unlock();
            deliver(outgoing);
            lock.lock();
        }
        m_wake.wait_for(lock, tickInterval);
    }
}

void KeyGate::deliver(const Outgoing &outgoing)
{
    const auto list = m_blackboard.publishedList.read();
    const PublishedInstance *entry = findEntry(*list, outgoing.receiver);
    const MonoTime now = m_clock.monotonicNow();
    const auto paused = m_pausedReceivers.find(outgoing.receiver);
    if (entry == nullptr || (paused != m_pausedReceivers.end() && now < paused->second)) {
        return;
    }
    const auto answer = m_transport.request({outgoing.receiver, entry->peerAddress}, peerlink::MessageType::KeyHandover,
        peerlink::encode(outgoing.message), handoverTimeout);
    logging::write(logging::Level::Info, "idempotency", "handover",
        {{"receiver", std::string_view(outgoing.receiver.value())}, {"acknowledged", answer.has_value()}});
    if (!answer) {
        m_pausedReceivers[outgoing.receiver] = m_clock.monotonicNow() + receiverPause;
        return;
    }
    m_pausedReceivers.erase(outgoing.receiver);
    if (answer->empty()) {
        return;
    }
    if (const auto ack = peerlink::decode<idempotency::HandoverAck>(*answer)) {
        const std::scoped_lock lock(m_mutex);
        m_owner.receive(*ack);
    }
}

// The answer to a part is its acknowledgement, to an ended key it is empty.
Result<std::string> KeyGate::takeMessage(const std::string &payload)
{
    const auto message = peerlink::decode<HandoverMessage>(payload);
    if (!message) {
        return tl::unexpected(message.error());
    }
    const std::scoped_lock lock(m_mutex);
    if (const auto *ended = std::get_if<idempotency::HandedOverKey>(&*message)) {
        m_owner.receive(*ended);
        return std::string();
    }
    m_ack.reset();
    m_owner.receive(std::get<idempotency::HandoverPart>(*message));
    if (!m_ack) {
        return makeError(ResultCode::PeerMessageMalformed, "the handover is not for this instance");
    }
    return peerlink::encode(*m_ack);
}

} // namespace magnolia::entry
