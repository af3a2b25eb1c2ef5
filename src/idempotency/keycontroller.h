// At-most-once dispatch of requests with an idempotency key: key ownership, key table and handover.
// A state machine without I/O: the caller passes in lists, requests, messages and the time. Not thread-safe.
#pragma once

#include "blackboard/types/publishedlist.h"
#include "idempotency/handoverinbox.h"
#include "idempotency/handoveroutbox.h"
#include "idempotency/ihandovertransport.h"
#include "idempotency/keytable.h"
#include "idempotency/ownershiphistory.h"
#include "idempotency/types/keyedrequest.h"

#include <tl/expected.hpp>

namespace magnolia::idempotency
{

/** Empty if the operation is allowed, otherwise the reason for its refusal. */
using KeyCheck = tl::expected<void, KeyRefusal>;

class KeyController
{
public:
    /** `startedAt` is when this process started, by its wall clock. `transport` must outlive this object. */
    KeyController(InstanceId self, Incarnation incarnation, WallTime startedAt, KeyParameters parameters,
        IHandoverTransport &transport);

    /** Applies a published list and hands over the keys that this instance no longer owns. */
    void applyList(const PublishedList &list, WallTime now);

    /** Decides how to handle a request; RunLocally reserves the key for this attempt. */
    [[nodiscard]] BeginDecision begin(const KeyedRequest &request, WallTime now);
    /**
     * To be called on an open connection, with a new reading of the clock, before the first byte of the request is
     * sent. On an error nothing may be sent, and the key is released. After success, the attempt must end with
     * `complete`, `loseAnswer` or `retract`: without an answer its outcome is unknown, never not run.
     */
    [[nodiscard]] KeyCheck confirmDispatch(const Permit &permit, WallTime now);
    /** Records the complete answer. */
    void complete(const Permit &permit, StoredAnswer answer);
    /** Records that bytes may have been sent and that no complete answer arrived. */
    void loseAnswer(const Permit &permit);
    /** Records that the upstream reported not to have run the request: the attempt may dispatch again or be closed. */
    void retract(const Permit &permit);
    /** Releases the key of an attempt that sent nothing. Has no effect after `confirmDispatch`. */
    void abandon(const Permit &permit);
    /** Closes the key of an attempt that sent nothing. Only on success may the caller be told that it never runs. */
    [[nodiscard]] KeyCheck closeNotRun(const Permit &permit, WallTime now);

    /** Hands over all keys before a planned stop, while the list still names this instance. Cannot be undone. */
    void stopOwning(WallTime now);

    void receive(const HandoverPart &part);
    void receive(const HandoverAck &ack);
    void receive(const HandedOverKey &finishedKey);
    /** Removes expired keys and resends unacknowledged parts; to be called several times a second. */
    void tick(WallTime now);

    /** Whether parts of a handover are still unacknowledged. */
    [[nodiscard]] bool isHandingOver() const
    {
        return !m_outbox.isEmpty();
    }
    [[nodiscard]] const KeyTable &table() const
    {
        return m_table;
    }
    /** Owner of `name` by the newest list; empty if there is none. */
    [[nodiscard]] std::optional<InstanceId> owner(const KeyName &name) const
    {
        return m_history.owner(name);
    }

private:
    [[nodiscard]] std::optional<KeyRefusal> checkCreationTime(WallTime createdAt, WallTime now) const;
    [[nodiscard]] std::optional<KeyRefusal> checkOwnership(const KeyName &name, WallTime createdAt, WallTime now) const;
    [[nodiscard]] BeginDecision decideForKnownKey(const KeyRecord &record, std::uint64_t requestHash) const;
    [[nodiscard]] KeyCheck recheck(const Permit &permit, WallTime now);
    [[nodiscard]] bool isDispatchHistoryKnown(const KeyName &name, WallTime createdAt) const;
    [[nodiscard]] WallTime effectiveOwnershipStart(WallTime generatedAt) const;
    /** Latest creation time that `coverage` covers for a period whose first list was generated at `generatedAt`. */
    [[nodiscard]] WallTime coverageEnd(const HandoverCoverage &coverage, WallTime generatedAt) const;
    [[nodiscard]] WallTime completeAfter() const;
    [[nodiscard]] WallTime periodCompleteAfter(const OwnershipPeriod &before, const OwnershipPeriod &period) const;
    [[nodiscard]] bool isMember(const OwnershipPeriod &period) const;
    /** Owner of `name` by the newest list, from which this instance is excluded once it has stopped owning keys. */
    [[nodiscard]] std::optional<InstanceId> successor(const KeyName &name) const;
    bool importKey(const HandedOverKey &key);
    void handOver(std::uint64_t lastOwnedRevision, const std::vector<std::string> &receivers, WallTime now);

    InstanceId m_self;
    Incarnation m_incarnation;
    WallTime m_startedAt;
    KeyParameters m_parameters;
    OwnershipHistory m_history;
    KeyTable m_table;
    HandoverInbox m_inbox;
    HandoverOutbox m_outbox;
    // Invariant: once true, this object dispatches nothing.
    bool m_hasStopped = false;
};

} // namespace magnolia::idempotency
