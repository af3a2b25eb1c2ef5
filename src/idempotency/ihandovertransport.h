// Transport of handovers between entries, as the key owner sees it.
#pragma once

#include "idempotency/types/handover.h"

namespace magnolia::idempotency
{

/** May lose, repeat, delay and reorder; must not alter (messages between entries are authenticated). */
class IHandoverTransport
{
public:
    virtual ~IHandoverTransport() = default;

    virtual void send(const InstanceId &receiver, const HandoverPart &part) = 0;
    virtual void send(const InstanceId &sender, const HandoverAck &ack) = 0;
    /** What became of one key whose work ended after it was handed over; may be lost without harm. */
    virtual void send(const InstanceId &owner, const HandedOverKey &ended) = 0;
};

} // namespace magnolia::idempotency
