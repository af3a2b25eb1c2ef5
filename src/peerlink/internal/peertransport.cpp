// Factory of the peer transport.
#include "peerlink/peertransport.h"

#include "peerlink/internal/pocopeertransport.h"

namespace magnolia::peerlink
{

std::unique_ptr<IPeerTransport> makePeerTransport(
    PeerIdentity identity, PeerKeys keys, PeerLinkParameters parameters, const IClock &clock)
{
    return std::make_unique<PocoPeerTransport>(std::move(identity), std::move(keys), parameters, clock);
}

} // namespace magnolia::peerlink
