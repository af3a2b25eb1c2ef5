// Handovers under way from this entry: cut into parts, and sent again until the receiver has them.
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

    /** Sends `keys` in parts; `head` gives all but index, count and keys. No keys make one empty part. */
    void offer(const HandoverPart &head, std::vector<HandedOverKey> keys);
    /** Sends again what is not acknowledged, and gives up what was taken before `giveUpBefore`. */
    void resend(WallTime giveUpBefore);
    void acknowledge(const HandoverAck &ack);
    /** Tells the present owner of a key how its work ended here. */
    void tellEnd(const InstanceId &owner, const HandedOverKey &ended);
    /** Tells the sender that a part was taken in here. */
    void confirm(const HandoverAck &ack);
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
