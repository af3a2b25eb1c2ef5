// Transport of handover messages between instances.
#pragma once

#include "idempotency/types/handover.h"

namespace magnolia::idempotency
{

/** May lose, duplicate, delay and reorder messages, but not alter them: peer messages are authenticated. */
class IHandoverTransport
{
public:
    virtual ~IHandoverTransport() = default;

    virtual void send(const InstanceId &receiver, const HandoverPart &part) = 0;
    virtual void send(const InstanceId &sender, const HandoverAck &ack) = 0;
    /** Sends the outcome of a key whose attempt finished after the handover; losing it breaks no guarantee. */
    virtual void send(const InstanceId &owner, const HandedOverKey &finishedKey) = 0;
};

} // namespace magnolia::idempotency
