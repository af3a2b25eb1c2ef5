// Fixture that runs exchanges against scripted upstreams on one event loop over the loopback interface.
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

/** Records the response that the caller would receive. */
struct RecordedResponse : IResponseWriter
{
    void sendResponse(httpwire::ResponseHead theHead, std::string_view theBody) override;
    void beginResponse(httpwire::ResponseHead theHead) override;
    void sendChunk(std::string_view bytes) override;
    void endResponse() override;
    void abortResponse() override;
    [[nodiscard]] std::size_t pendingBytes() const override;

    [[nodiscard]] bool isFinished() const;

    httpwire::ResponseHead head;
    std::string body;
    bool isComplete = false;
    bool hasBegun = false;
    bool isAborted = false;
};

class GatewayFixture : public fleet::IFleetDelegate
{
public:
    GatewayFixture();

    /** Adds an upstream of `service` that runs `script` for each request. */
    ScriptedUpstream &addUpstream(
        const std::string &service, ScriptedUpstream::Script script, const std::string &dataCentre = "here");
    catalogue::Route makeRoute(catalogue::RouteKind kind) const;
    httpwire::RequestHead makeRequest(const std::string &id) const;

    /** Starts a request without running the event loop. */
    std::shared_ptr<Exchange> beginRequest(
        const catalogue::Route &route, httpwire::RequestHead head, const std::string &body);
    /** Runs the event loop until `isDone` returns true, for at most `time`. */
    void runUntil(const std::function<bool()> &isDone, Milliseconds time = Milliseconds(5000));
    /** Starts a request and runs the event loop until it has been answered. */
    void runRequest(const catalogue::Route &route, const std::string &id = "id-1", const std::string &body = "body");

    [[nodiscard]] fleet::OwnState ownState() const override;
    [[nodiscard]] std::vector<fleet::PlacementRecord> ownPlacements() const override;
    [[nodiscard]] std::vector<fleet::QuarantineRecord> ownQuarantine() const override;
    [[nodiscard]] fleet::Snapshot snapshot() const override;
    void onPeerMessage(const fleet::PeerMessage &message) override;
    void onSnapshot(const fleet::Snapshot &snapshot) override;
    void onStoreConfirmed(const published::StorePosition &position, MonoTime at) override;
    void onPeerLost(const std::string &instance) override;

    eventloop::EventLoop loop;
    GatewaySettings settings;
    GatewayContext context;
    RecordedResponse response;
    std::shared_ptr<catalogue::Catalogue> catalogue;
    std::vector<std::shared_ptr<ScriptedUpstream>> upstreams;
    std::map<std::string, published::PublishedState::UpstreamRecord> upstreamRecords;
    // Route of the running exchange, which refers to it.
    catalogue::Route route;
};

/** Returns an upstream's response to `request` that echoes its id. */
[[nodiscard]] std::string plainResponse(const std::string &request, int status, const std::string &body,
    const std::string &moreFields = "Response-Signature: s\r\n");
/** Returns the response head of a chunked event stream that echoes the id of `request`. */
[[nodiscard]] std::string eventStreamHead(const std::string &request);
/** Returns one event as a chunk. */
[[nodiscard]] std::string eventChunk(int id);
/** Returns the value of a header field of `request`; empty if it is missing. */
[[nodiscard]] std::string headerField(const std::string &request, const std::string &name);

} // namespace magnolia::gateway::tests
