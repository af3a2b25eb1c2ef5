// Outgoing handovers of this instance, which are split into parts and resent until acknowledged.
#pragma once

#include "idempotency/ihandovertransport.h"
#include "idempotency/types/handover.h"

#include <vector>

namespace magnolia::idempotency
{

class HandoverOutbox
{
public:
    HandoverOutbox(IHandoverTransport &transport, std::size_t maxKeysInPart);

    /** Sends `keys` in parts, with all other fields from `head`. Without keys, sends one empty part. */
    void sendKeys(const HandoverPart &head, std::vector<HandedOverKey> keys);
    /** Resends the unacknowledged parts and drops those whose snapshot is older than `expiryLimit`. */
    void resend(WallTime expiryLimit);
    void acknowledge(const HandoverAck &ack);
    /** Sends the current owner of a key the outcome of an attempt that finished on this instance. */
    void sendOutcome(const InstanceId &owner, const HandedOverKey &finishedKey);
    /** Acknowledges to the sender that a part was imported. */
    void sendAck(const HandoverAck &ack);
    [[nodiscard]] bool isEmpty() const
    {
        return m_parts.empty();
    }

private:
    IHandoverTransport &m_transport;
    std::size_t m_maxKeysInPart;
    std::vector<HandoverPart> m_parts;
};

} // namespace magnolia::idempotency
