// Connects the at-most-once dispatch of keyed requests to the blackboard, the requests and the peers.
#include "entry/idempotencycontroller.h"

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
    const std::string head = request.method + '\n' + request.callerPath + '\n' + request.requestClass.id.value();
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

IdempotencyController::IdempotencyController(InstanceId self, Incarnation incarnation, const Blackboard &blackboard,
    const IClock &clock, peerlink::IPeerTransport &transport)
    : m_blackboard(blackboard)
    , m_clock(clock)
    , m_transport(transport)
    , m_keyController(std::move(self), incarnation, clock.wallNow(), idempotency::KeyParameters(), *this)
{
}

IdempotencyController::~IdempotencyController()
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

void IdempotencyController::start()
{
    m_transport.setRequestHandler(peerlink::MessageType::KeyHandover, [this](const peerlink::ReceivedMessage &message) {
        return handleMessage(message.payload);
    });
    m_thread = std::thread([this] {
        run();
    });
}

void IdempotencyController::stopOwning()
{
    const std::scoped_lock lock(m_mutex);
    m_keyController.stopOwning(m_clock.wallNow());
    m_wake.notify_all();
}

bool IdempotencyController::isHandingOver() const
{
    const std::scoped_lock lock(m_mutex);
    return m_keyController.isHandingOver();
}

KeyDecision IdempotencyController::begin(const CallerRequest &request)
{
    const idempotency::KeyedRequest keyed{nameOf(request), hashOf(request), !request.relayedBy.empty()};
    const std::scoped_lock lock(m_mutex);
    const auto list = m_blackboard.publishedList.read();
    m_keyController.applyList(*list, m_clock.wallNow());
    const auto decision = m_keyController.begin(keyed, m_clock.wallNow());
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

Result<void> IdempotencyController::confirmDispatch(const CallerRequest &request, const KeyGranted &grant)
{
    const std::scoped_lock lock(m_mutex);
    m_keyController.applyList(*m_blackboard.publishedList.read(), m_clock.wallNow());
    if (const auto check = m_keyController.confirmDispatch(permitOf(request, grant), m_clock.wallNow()); !check) {
        return tl::unexpected(idempotency::toError(check.error()));
    }
    return {};
}

void IdempotencyController::complete(const CallerRequest &request, const KeyGranted &grant, const KeyReplay &answer)
{
    const std::scoped_lock lock(m_mutex);
    m_keyController.complete(permitOf(request, grant), {answer.status, answer.contentType, answer.body});
}

void IdempotencyController::loseAnswer(const CallerRequest &request, const KeyGranted &grant)
{
    const std::scoped_lock lock(m_mutex);
    m_keyController.loseAnswer(permitOf(request, grant));
}

void IdempotencyController::retract(const CallerRequest &request, const KeyGranted &grant)
{
    const std::scoped_lock lock(m_mutex);
    m_keyController.retract(permitOf(request, grant));
}

Outcome IdempotencyController::close(const CallerRequest &request, const KeyGranted &grant)
{
    const std::scoped_lock lock(m_mutex);
    const idempotency::Permit permit = permitOf(request, grant);
    if (m_keyController.closeNotRun(permit, m_clock.wallNow())) {
        return Outcome::NotRun;
    }
    m_keyController.abandon(permit);
    return Outcome::Unknown;
}

idempotency::Permit IdempotencyController::permitOf(const CallerRequest &request, const KeyGranted &grant) const
{
    return {nameOf(request), grant.attempt};
}

const PublishedInstance *IdempotencyController::findEntry(const PublishedList &list, const InstanceId &id) const
{
    const auto it
        = std::find_if(list.instances.begin(), list.instances.end(), [&id](const PublishedInstance &instance) {
              return instance.role == InstanceRole::Entry && instance.id == id.value();
          });
    return it == list.instances.end() ? nullptr : &*it;
}

void IdempotencyController::send(const InstanceId &receiver, const idempotency::HandoverPart &part)
{
    enqueue(receiver, part);
}

void IdempotencyController::send(const InstanceId &owner, const idempotency::HandedOverKey &ended)
{
    enqueue(owner, ended);
}

void IdempotencyController::send(const InstanceId & /*giver*/, const idempotency::HandoverAck &ack)
{
    m_ack = ack;
}

void IdempotencyController::enqueue(const InstanceId &receiver, HandoverMessage message)
{
    // A message that does not fit is dropped; unacknowledged parts are sent again later.
    if (m_outgoing.size() < maxOutgoing) {
        m_outgoing.push_back({receiver, std::move(message)});
    }
}

void IdempotencyController::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_keyController.applyList(*m_blackboard.publishedList.read(), m_clock.wallNow());
        m_keyController.tick(m_clock.wallNow());
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

void IdempotencyController::deliver(const Outgoing &outgoing)
{
    const auto list = m_blackboard.publishedList.read();
    const PublishedInstance *entry = findEntry(*list, outgoing.receiver);
    const MonoTime now = m_clock.monotonicNow();
    const auto paused = m_receiverCooldowns.find(outgoing.receiver);
    if (entry == nullptr || (paused != m_receiverCooldowns.end() && now < paused->second)) {
        return;
    }
    const auto answer = m_transport.request({outgoing.receiver, entry->peerAddress}, peerlink::MessageType::KeyHandover,
        peerlink::encode(outgoing.message), handoverTimeout);
    logging::write(logging::Level::Info, "idempotency", "handover",
        {{"receiver", std::string_view(outgoing.receiver.value())}, {"acknowledged", answer.has_value()}});
    if (!answer) {
        m_receiverCooldowns[outgoing.receiver] = m_clock.monotonicNow() + receiverCooldown;
        return;
    }
    m_receiverCooldowns.erase(outgoing.receiver);
    if (answer->empty()) {
        return;
    }
    if (const auto ack = peerlink::decode<idempotency::HandoverAck>(*answer)) {
        const std::scoped_lock lock(m_mutex);
        m_keyController.receive(*ack);
    }
}

// Answers a handover part with its acknowledgement, and an ended key with an empty message.
Result<std::string> IdempotencyController::handleMessage(const std::string &payload)
{
    const auto message = peerlink::decode<HandoverMessage>(payload);
    if (!message) {
        return tl::unexpected(message.error());
    }
    const std::scoped_lock lock(m_mutex);
    if (const auto *ended = std::get_if<idempotency::HandedOverKey>(&*message)) {
        m_keyController.receive(*ended);
        return std::string();
    }
    m_ack.reset();
    m_keyController.receive(std::get<idempotency::HandoverPart>(*message));
    if (!m_ack) {
        return makeError(ResultCode::PeerMessageMalformed, "the key handover is not for this instance");
    }
    return peerlink::encode(*m_ack);
}

} // namespace magnolia::entry
