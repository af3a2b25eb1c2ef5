// Splits handovers into parts and resends them.
#include "idempotency/handoveroutbox.h"

namespace magnolia::idempotency
{

namespace
{

constexpr std::size_t maxBytesInPart = 256UL * 1024;

std::size_t estimatedSize(const HandedOverKey &key)
{
    constexpr std::size_t fixedBytes = 128;
    return fixedBytes + (key.answer ? key.answer->body.size() : 0);
}

std::vector<std::vector<HandedOverKey>> splitIntoParts(std::vector<HandedOverKey> keys, std::size_t maxKeysInPart)
{
    std::vector<std::vector<HandedOverKey>> parts(1);
    std::size_t size = 0;
    for (HandedOverKey &key : keys) {
        const std::size_t added = estimatedSize(key);
        const bool isFull = parts.back().size() >= maxKeysInPart || size + added > maxBytesInPart;
        if (isFull && !parts.back().empty()) {
            parts.emplace_back();
            size = 0;
        }
        size += added;
        parts.back().push_back(std::move(key));
    }
    return parts;
}

} // namespace

HandoverOutbox::HandoverOutbox(IHandoverTransport &transport, std::size_t maxKeysInPart)
    : m_transport(transport)
    , m_maxKeysInPart(maxKeysInPart)
{
}

void HandoverOutbox::sendKeys(const HandoverPart &head, std::vector<HandedOverKey> keys)
{
    std::vector<std::vector<HandedOverKey>> keyGroups = splitIntoParts(std::move(keys), m_maxKeysInPart);
    for (std::size_t i = 0; i < keyGroups.size(); ++i) {
        HandoverPart part = head;
        part.index = static_cast<std::uint32_t>(i);
        part.count = static_cast<std::uint32_t>(keyGroups.size());
        part.keys = std::move(keyGroups[i]);
        m_transport.send(part.name.receiver, part);
        m_parts.push_back(std::move(part));
    }
}

void HandoverOutbox::resend(WallTime expiryLimit)
{
    std::erase_if(m_parts, [expiryLimit](const HandoverPart &part) {
        return WallTime(Milliseconds(part.snapshotAtMs)) < expiryLimit;
    });
    for (const HandoverPart &part : m_parts) {
        m_transport.send(part.name.receiver, part);
    }
}

void HandoverOutbox::sendAck(const HandoverAck &ack)
{
    m_transport.send(ack.name.sender, ack);
}

void HandoverOutbox::sendOutcome(const InstanceId &owner, const HandedOverKey &finishedKey)
{
    m_transport.send(owner, finishedKey);
}

void HandoverOutbox::acknowledge(const HandoverAck &ack)
{
    std::erase_if(m_parts, [&ack](const HandoverPart &part) {
        return part.name == ack.name && part.index == ack.index;
    });
}

} // namespace magnolia::idempotency
