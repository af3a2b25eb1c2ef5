// At-most-once dispatch of work that names an idempotency key: ownership, the table and the handover together.
// A pure state machine: it is handed lists, requests, messages and the time. Not thread-safe; the caller locks.
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

/** Nothing where the step may be taken; else why not. */
using KeyCheck = tl::expected<void, KeyRefusal>;

class KeyController
{
public:
    /** `startedAt` is when this process began, by its wall clock. `transport` outlives this object. */
    KeyController(InstanceId self, Incarnation incarnation, WallTime startedAt, KeyParameters parameters,
        IHandoverTransport &transport);

    /** Takes in a published list and hands over the keys that this instance no longer owns by it. */
    void applyList(const PublishedList &list, WallTime now);

    /** Decides what becomes of a request; RunLocally reserves the key for this attempt. */
    [[nodiscard]] BeginDecision begin(const KeyedRequest &request, WallTime now);
    /**
     * The last step before the first byte of the request may leave, with the clock read anew; the connection is
     * open by then. Where it refuses, nothing may be sent and the key is released. From then on the attempt ends in
     * `complete` or `loseAnswer`; it has not run only in the sense that nobody can tell.
     */
    [[nodiscard]] KeyCheck confirmDispatch(const Permit &permit, WallTime now);
    /** The whole answer has come. */
    void complete(const Permit &permit, StoredAnswer answer);
    /** Bytes may have left, and no whole answer came. */
    void loseAnswer(const Permit &permit);
    /** The upstream has said that it did not run what was sent: the attempt may dispatch again or be closed. */
    void retract(const Permit &permit);
    /** Nothing was sent; the key may be tried again. Has no effect after `confirmDispatch`. */
    void abandon(const Permit &permit);
    /** Nothing was sent, and the caller is to be told that the key did not and never will run: only if this agrees. */
    [[nodiscard]] KeyCheck closeNotRun(const Permit &permit, WallTime now);

    /** Gives up all keys for good before a planned stop, though the list still names this instance. */
    void stopOwning(WallTime now);

    void receive(const HandoverPart &part);
    void receive(const HandoverAck &ack);
    void receive(const HandedOverKey &ended);
    /** To be called a few times a second: forgets old keys and sends unacknowledged parts again. */
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
    /** Owner of `name` by the newest list; empty where there is none. */
    [[nodiscard]] std::optional<InstanceId> owner(const KeyName &name) const
    {
        return m_history.owner(name);
    }

private:
    [[nodiscard]] std::optional<KeyRefusal> checkTime(WallTime createdAt, WallTime now) const;
    [[nodiscard]] std::optional<KeyRefusal> checkOwnership(const KeyName &name, WallTime createdAt, WallTime now) const;
    [[nodiscard]] BeginDecision decideKnown(const KeyRecord &record, std::uint64_t requestHash) const;
    [[nodiscard]] KeyCheck recheck(const Permit &permit, WallTime now);
    [[nodiscard]] bool isAssured(const KeyName &name, WallTime createdAt) const;
    [[nodiscard]] WallTime ownershipStart(WallTime stamp) const;
    /** Up to which creation time `cover` speaks for a step whose first list bears `stamp`. */
    [[nodiscard]] WallTime coveredUpTo(const HandoverCoverage &cover, WallTime stamp) const;
    [[nodiscard]] WallTime completeAfter() const;
    [[nodiscard]] WallTime stepFloor(const OwnershipPeriod &before, const OwnershipPeriod &step) const;
    [[nodiscard]] bool isMember(const OwnershipPeriod &step) const;
    /** Who is to know of `name`: its owner by the newest list, or without this instance once it has stopped. */
    [[nodiscard]] std::optional<InstanceId> successor(const KeyName &name) const;
    bool install(const HandedOverKey &key);
    void handOver(std::uint64_t lastOwnedRevision, const std::vector<std::string> &receivers, WallTime now);

    InstanceId m_self;
    Incarnation m_incarnation;
    WallTime m_startedAt;
    KeyParameters m_parameters;
    OwnershipHistory m_history;
    KeyTable m_table;
    HandoverInbox m_inbox;
    HandoverOutbox m_outbox;
    // Invariant: once true, nothing is dispatched by this object any more.
    bool m_hasStopped = false;
};

} // namespace magnolia::idempotency
