// A gateway's way of a request against scripted upstreams, all on one event loop and loopback.
#pragma once

#include "scriptedupstream.h"

#include "catalogue/types/catalogue.h"
#include "fleet/ifleetdelegate.h"
#include "framework/eventloop/eventloop.h"
#include "gateway/internal/exchange.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/iresponsewriter.h"
#include "gateway/types/gatewaysettings.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::gateway::tests
{

/** Keeps what the caller would get. */
struct RecordedAnswer : ICallAnswer
{
    void answer(httpwire::ResponseHead theHead, std::string_view theBody) override;
    void begin(httpwire::ResponseHead theHead) override;
    void piece(std::string_view bytes) override;
    void end() override;
    void breakOff() override;
    [[nodiscard]] std::size_t pendingBytes() const override;

    [[nodiscard]] bool isOver() const;

    httpwire::ResponseHead head;
    std::string body;
    bool isWhole = false;
    bool isBegun = false;
    bool isBrokenOff = false;
};

class GatewayFixture : public fleet::IFleetDelegate
{
public:
    GatewayFixture();

    /** An upstream of `service` that does what `script` says. */
    ScriptedUpstream &addUpstream(const std::string &service, ScriptedUpstream::Script script);
    catalogue::Route makeRoute(catalogue::RouteKind kind) const;
    httpwire::RequestHead makeRequest(const std::string &id) const;

    /** Begins a request and serves events until it is answered, or `time` is over. */
    std::shared_ptr<Exchange> begin(const catalogue::Route &route, httpwire::RequestHead head, const std::string &body);
    void runUntil(const std::function<bool()> &isDone, Milliseconds time = Milliseconds(5000));
    void runRequest(const catalogue::Route &route, const std::string &id = "id-1", const std::string &body = "body");

    [[nodiscard]] fleet::OwnState ownState() const override;
    [[nodiscard]] std::vector<fleet::PlacementRecord> ownPlacements() const override;
    [[nodiscard]] fleet::Snapshot snapshot() const override;
    void onPeerMessage(const fleet::PeerMessage &message) override;
    void onSnapshot(const fleet::Snapshot &snapshot) override;
    void onPeerLost(const std::string &instance) override;

    eventloop::EventLoop loop;
    GatewaySettings settings;
    GatewayContext context;
    RecordedAnswer answer;
    std::shared_ptr<catalogue::Catalogue> catalogue;
    std::vector<std::shared_ptr<ScriptedUpstream>> upstreams;
    std::map<std::string, published::PublishedState::UpstreamRecord> held;
    // The route that the running exchange refers to.
    catalogue::Route route;
};

/** An answer of an upstream to the request whose bytes are given, with its id echoed. */
[[nodiscard]] std::string plainAnswer(const std::string &request, int status, const std::string &body,
    const std::string &moreFields = "Response-Signature: s\r\n");
/** The head of a chunked stream, and one event as a chunk. */
[[nodiscard]] std::string streamHead(const std::string &request);
[[nodiscard]] std::string eventChunk(int id);
[[nodiscard]] std::string fieldOf(const std::string &request, const std::string &name);

} // namespace magnolia::gateway::tests
