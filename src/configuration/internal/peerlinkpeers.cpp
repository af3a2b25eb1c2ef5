// Encodes the configuration's messages for the link between instances.
#include "configuration/peerlinkpeers.h"

#include "configuration/configurationcontroller.h"
#include "framework/logging/log.h"
#include "peerlink/binarycodec.h"

#include <algorithm>

namespace magnolia::configuration
{

namespace
{

using peerlink::MessageType;
using peerlink::PeerAddress;
using peerlink::ReceivedMessage;

/** Address of the peer; empty if it is not known. */
std::string addressOf(const Blackboard &blackboard, const InstanceId &id)
{
    const auto membership = blackboard.membership.read();
    const auto member = membership->peers.find(id);
    if (member != membership->peers.end() && !member->second.peerAddress.empty()) {
        return member->second.peerAddress;
    }
    const auto list = blackboard.publishedList.read();
    const auto it = std::find_if(list->instances.begin(), list->instances.end(), [&id](const auto &instance) {
        return instance.role == InstanceRole::Entry && instance.id == id.value();
    });
    return it == list->instances.end() ? std::string() : it->peerAddress;
}

class PeerlinkPeers : public IConfigurationPeers
{
public:
    PeerlinkPeers(const Blackboard &blackboard, peerlink::IPeerTransport &transport)
        : m_blackboard(blackboard)
        , m_transport(transport)
    {
    }

    void send(const InstanceId &to, const ConfigurationMessage &message) override
    {
        const PeerAddress address{to, addressOf(m_blackboard, to)};
        if (!address.address.empty()) {
            // The result is ignored: the next exchange makes up for a lost datagram.
            static_cast<void>(m_transport.send(address, MessageType::ConfigurationFetch, peerlink::encode(message)));
        }
    }

    Result<SnapshotAnswer> fetch(const InstanceId &from, const SnapshotRequest &request, Milliseconds timeout) override
    {
        const PeerAddress address{from, addressOf(m_blackboard, from)};
        if (address.address.empty()) {
            return makeError(ResultCode::PeerUnreachable, "no known address for peer " + from.value());
        }
        const auto answer
            = m_transport.request(address, MessageType::ConfigurationFetch, peerlink::encode(request), timeout);
        if (!answer) {
            return tl::unexpected(answer.error());
        }
        return peerlink::decode<SnapshotAnswer>(*answer);
    }

private:
    const Blackboard &m_blackboard;
    peerlink::IPeerTransport &m_transport;
};

} // namespace

std::unique_ptr<IConfigurationPeers> makePeerlinkPeers(
    const Blackboard &blackboard, peerlink::IPeerTransport &transport)
{
    return std::make_unique<PeerlinkPeers>(blackboard, transport);
}

void connectToPeerlink(peerlink::IPeerTransport &transport, ConfigurationController &controller)
{
    transport.setDatagramHandler(MessageType::ConfigurationFetch, [&controller](const ReceivedMessage &message) {
        const auto decoded = peerlink::decode<ConfigurationMessage>(message.payload);
        if (decoded) {
            controller.receive(message.sender, *decoded);
        }
    });
    transport.setRequestHandler(MessageType::ConfigurationFetch, [&controller](const ReceivedMessage &message) {
        return peerlink::decode<SnapshotRequest>(message.payload).map([&controller](const SnapshotRequest &request) {
            return peerlink::encode(controller.answer(request));
        });
    });
}

void disconnectFromPeerlink(peerlink::IPeerTransport &transport)
{
    transport.setDatagramHandler(MessageType::ConfigurationFetch, {});
    transport.setRequestHandler(MessageType::ConfigurationFetch, {});
}

} // namespace magnolia::configuration
