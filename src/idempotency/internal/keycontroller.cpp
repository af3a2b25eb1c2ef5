// Decisions about a single key, from its reservation to the end of its attempt.
#include "idempotency/keycontroller.h"

#include "idempotency/uuidv7.h"

namespace magnolia::idempotency
{

namespace
{

KeyRefusal refuse(ResultCode code, std::optional<Milliseconds> retryAfter = std::nullopt)
{
    return KeyRefusal{code, Outcome::Unknown, Outcome::NotRun, retryAfter};
}

} // namespace

KeyController::KeyController(InstanceId self, Incarnation incarnation, WallTime startedAt, KeyParameters parameters,
    IHandoverTransport &transport)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_startedAt(startedAt)
    , m_parameters(parameters)
    , m_history(m_self, parameters)
    , m_table(parameters)
    , m_inbox(startedAt, parameters)
    , m_outbox(transport, parameters.maxKeysInHandoverPart)
{
}

BeginDecision KeyController::begin(const KeyedRequest &request, WallTime now)
{
    const auto createdAt = creationTime(request.name.key);
    if (!createdAt) {
        // No instance accepts such a key, so the request certainly never runs.
        return KeyRefusal{createdAt.error().code, Outcome::NotRun, Outcome::NotRun, std::nullopt};
    }
    const KeyName name{request.name.organisation, canonicalKey(request.name.key)};
    if (const auto refusal = checkCreationTime(*createdAt, now)) {
        return *refusal;
    }
    const KeyRecord *record = m_table.find(name);
    const auto owner = m_history.owner(name);
    const bool isOwner = owner == m_self;
    // Ran is final and holds whoever owns the key now; all other states are valid at the owner only.
    if (record != nullptr && (isOwner || record->state == KeyState::Ran)) {
        return decideForKnownKey(*record, request.requestHash);
    }
    if (owner && !isOwner && !request.isRelayed) {
        return RelayTo{*owner};
    }
    if (const auto refusal = checkOwnership(name, *createdAt, now)) {
        return *refusal;
    }
    const auto attempt = m_table.begin(name, *createdAt, request.requestHash);
    if (!attempt) {
        return refuse(ResultCode::KeyTableFull, m_parameters.retryAfter);
    }
    return RunLocally{Permit{name, *attempt}};
}

KeyCheck KeyController::confirmDispatch(const Permit &permit, WallTime now)
{
    if (auto check = recheck(permit, now); !check) {
        return check;
    }
    m_table.setState(permit.name, permit.attempt, KeyState::Dispatched);
    return {};
}

void KeyController::complete(const Permit &permit, StoredAnswer answer)
{
    if (!m_table.setAnswer(permit.name, permit.attempt, std::move(answer))) {
        return;
    }
    const auto owner = successor(permit.name);
    if (owner && *owner != m_self) {
        const KeyRecord &record = *m_table.find(permit.name);
        m_outbox.sendOutcome(*owner, {permit.name, record.state, record.requestHash, record.answer});
    }
}

void KeyController::loseAnswer(const Permit &permit)
{
    m_table.setState(permit.name, permit.attempt, KeyState::Unknown);
}

void KeyController::retract(const Permit &permit)
{
    const KeyRecord *record = m_table.find(permit.name);
    if (record != nullptr && record->state == KeyState::Dispatched) {
        m_table.setState(permit.name, permit.attempt, KeyState::Reserved);
    }
}

void KeyController::abandon(const Permit &permit)
{
    m_table.release(permit.name, permit.attempt);
}

KeyCheck KeyController::closeNotRun(const Permit &permit, WallTime now)
{
    if (auto check = recheck(permit, now); !check) {
        return check;
    }
    if (!m_table.close(permit.name, permit.attempt)) {
        m_table.release(permit.name, permit.attempt);
        return tl::unexpected(refuse(ResultCode::KeyTableFull, m_parameters.retryAfter));
    }
    return {};
}

KeyCheck KeyController::recheck(const Permit &permit, WallTime now)
{
    const KeyRecord *record = m_table.find(permit.name);
    if (record == nullptr || record->attempt != permit.attempt) {
        // The key was removed, or replaced by a handover, before this attempt sent anything.
        return tl::unexpected(refuse(ResultCode::KeyOwnershipUnconfirmed, m_parameters.retryAfter));
    }
    if (record->state != KeyState::Reserved) {
        return tl::unexpected(
            KeyRefusal{ResultCode::KeyOutcomeUnknown, Outcome::Unknown, Outcome::Unknown, std::nullopt});
    }
    if (!m_parameters.safeguards.rechecksBeforeWrite) {
        return {};
    }
    auto refusal = checkCreationTime(record->createdAt, now);
    if (!refusal) {
        refusal = checkOwnership(permit.name, record->createdAt, now);
    }
    if (refusal) {
        m_table.release(permit.name, permit.attempt);
        return tl::unexpected(*refusal);
    }
    return {};
}

std::optional<KeyRefusal> KeyController::checkCreationTime(WallTime createdAt, WallTime now) const
{
    if (createdAt > now + m_parameters.maxClockSkew) {
        return refuse(ResultCode::KeyFromFuture);
    }
    if (createdAt <= now - m_parameters.retention || createdAt <= m_table.removedUpTo()) {
        return refuse(ResultCode::KeyExpired);
    }
    return std::nullopt;
}

std::optional<KeyRefusal> KeyController::checkOwnership(const KeyName &name, WallTime createdAt, WallTime now) const
{
    const Milliseconds validity = m_parameters.listValidity;
    const bool isListFresh = now <= m_history.latestGeneratedAt() + validity;
    // A later owner relies on this bound, which does not depend on the clock of this instance.
    const bool isKeyInReach = createdAt <= m_history.latestGeneratedAt() + validity + m_parameters.maxClockSkew;
    const bool isFenced = m_parameters.safeguards.fencesStaleOwners && (!isListFresh || !isKeyInReach);
    if (m_hasStopped || isFenced || m_history.owner(name) != m_self) {
        return refuse(ResultCode::KeyOwnershipUnconfirmed, m_parameters.retryAfter);
    }
    if (!isDispatchHistoryKnown(name, createdAt)) {
        return refuse(ResultCode::KeyOwnershipTooNew);
    }
    return std::nullopt;
}

BeginDecision KeyController::decideForKnownKey(const KeyRecord &record, std::uint64_t requestHash) const
{
    if (record.requestHash != requestHash) {
        return refuse(ResultCode::KeyReusedForOtherRequest);
    }
    switch (record.state) {
    case KeyState::Reserved:
    case KeyState::Dispatched:
        return refuse(ResultCode::KeyInFlight, m_parameters.retryAfter);
    case KeyState::Ran:
        if (record.answer) {
            return Replay{*record.answer};
        }
        return KeyRefusal{ResultCode::KeyAlreadyRan, Outcome::Ran, Outcome::NotRun, std::nullopt};
    case KeyState::Closed:
        return KeyRefusal{ResultCode::KeyClosed, Outcome::NotRun, Outcome::NotRun, std::nullopt};
    case KeyState::Unknown:
        break;
    }
    return refuse(ResultCode::KeyOutcomeUnknown);
}

void KeyController::tick(WallTime now)
{
    m_table.removeUpTo(now - m_parameters.retention);
    m_history.removeBefore(now - m_parameters.retention - m_parameters.holdOff() - m_parameters.maxClockSkew);
    m_outbox.resend(now - m_parameters.holdOff());
}

} // namespace magnolia::idempotency
