// Implements the test fixture on the loopback interface.
#include "gatewayfixture.h"

#include "fleet/fleetlink.h"
#include "framework/httpwire/messagewriter.h"

namespace magnolia::gateway::tests
{

namespace
{

constexpr std::uint64_t seed = 5;

WireNames makeNames()
{
    WireNames names;
    names.requestId = "Request-Id";
    names.deadline = "Deadline";
    names.authorization = "Authorization";
    names.keyScheme = "Token";
    names.organisation = "Organisation";
    names.expectedUpstream = "Expected-Upstream";
    names.model = "Model";
    names.tokenUsage = "Tokens";
    names.outputEstimate = "Output-Estimate";
    names.promptParts = "Prompt-Parts";
    names.lastEventId = "Last-Event-Id";
    names.enginePriority = "Engine-Priority";
    names.helpers = "Helpers";
    names.notExecuted = "Not-Executed";
    names.signature = "Response-Signature";
    names.upstreamAtFault = "At-Fault";
    names.retryAfter = "Retry-After";
    names.upstreamLoad = "Load";
    names.upstreamLeaving = "Leaving";
    names.upstreamLimit = "Limit";
    return names;
}

GatewaySettings makeSettings()
{
    GatewaySettings settings;
    settings.instance = InstanceId("self");
    settings.dataCentre = DataCentreId("here");
    settings.names = makeNames();
    settings.paths.engineOrder = "/order";
    // The instance counts as one that has run for a window of the retry budget.
    settings.retryWindow = Milliseconds(0);
    return settings;
}

} // namespace

void RecordedResponse::sendResponse(httpwire::ResponseHead theHead, std::string_view theBody)
{
    head = std::move(theHead);
    body = theBody;
    isComplete = true;
}

void RecordedResponse::beginResponse(httpwire::ResponseHead theHead)
{
    head = std::move(theHead);
    hasBegun = true;
}

void RecordedResponse::sendChunk(std::string_view bytes)
{
    body.append(bytes);
}

void RecordedResponse::endResponse()
{
    isComplete = true;
}

void RecordedResponse::abortResponse()
{
    isAborted = true;
}

std::size_t RecordedResponse::pendingBytes() const
{
    return 0;
}

bool RecordedResponse::isFinished() const
{
    return isComplete || isAborted;
}

GatewayFixture::GatewayFixture()
    : settings(makeSettings())
    , context(loop, settings, seed)
    , catalogue(std::make_shared<catalogue::Catalogue>())
{
    fleet::FleetLinkSettings link;
    link.instance = "self";
    context.fleet = std::make_shared<fleet::FleetLink>(loop, link, *this);
    updateRetryBudgets(context);
    catalogue->version = 1;
    context.catalogue = catalogue;
    context.writeMemoryOrder = [](const MemoryOrder &order) {
        return (order.isRelease ? "release " : "reserve ") + order.reservationId;
    };
}

ScriptedUpstream &GatewayFixture::addUpstream(
    const std::string &service, ScriptedUpstream::Script script, const std::string &dataCentre)
{
    upstreams.push_back(std::make_shared<ScriptedUpstream>(loop, std::move(script)));
    upstreams.back()->listen();
    catalogue->services.try_emplace(service).first->second.name = service;
    const std::string name = "u" + std::to_string(upstreams.size());
    catalogue::UpstreamEntry entry;
    entry.id = UpstreamId(name);
    entry.service = service;
    entry.address = upstreams.back()->address();
    entry.dataCentre = DataCentreId(dataCentre);
    entry.slots = 4;
    upstreamRecords[name] = {entry, {}, std::nullopt, {}};
    context.upstreams.rebuild(upstreamRecords, settings.dataCentre);
    return *upstreams.back();
}

catalogue::Route GatewayFixture::makeRoute(catalogue::RouteKind kind) const
{
    catalogue::Route newRoute;
    newRoute.name = "route";
    newRoute.kind = kind;
    newRoute.destinations = {{"service", 1}};
    newRoute.maxAttempts = 2;
    newRoute.isResumable = kind == catalogue::RouteKind::Stream;
    return newRoute;
}

httpwire::RequestHead GatewayFixture::makeRequest(const std::string &id) const
{
    httpwire::RequestHead head;
    head.method = "POST";
    head.target = "/path/x?y=1";
    head.fields.add("Host", "host.example");
    head.fields.add("Request-Id", id);
    head.fields.add("Deadline", "4000");
    head.fields.add("Authorization", "Token secret");
    head.fields.add("Organisation", "forged");
    head.fields.add("Expected-Upstream", "forged");
    head.fields.add("Helpers", "forged");
    head.fields.add("Connection", "X-Hop");
    head.fields.add("X-Hop", "1");
    head.fields.add("X-Kept", "2");
    head.fields.add("Content-Length", "4");
    return head;
}

std::shared_ptr<Exchange> GatewayFixture::beginRequest(
    const catalogue::Route &theRoute, httpwire::RequestHead head, const std::string &body)
{
    route = theRoute;
    response = {};
    const catalogue::OrganisationEntry organisation{OrganisationId("acme"), std::nullopt, {}};
    auto exchange = std::make_shared<Exchange>(
        context, route, organisation, std::move(head), body, loop.now(), std::nullopt, response);
    exchange->start();
    return exchange;
}

void GatewayFixture::runUntil(const std::function<bool()> &isDone, Milliseconds time)
{
    if (isDone()) {
        return;
    }
    bool isTimedOut = false;
    std::function<void()> check = [&] {
        if (isTimedOut || isDone()) {
            loop.stop();
            return;
        }
        loop.after(Milliseconds(2), check);
    };
    const eventloop::TimerId limit = loop.after(time, [&] {
        isTimedOut = true;
    });
    check();
    loop.run();
    loop.cancel(limit);
}

void GatewayFixture::runRequest(const catalogue::Route &theRoute, const std::string &id, const std::string &body)
{
    const auto exchange = beginRequest(theRoute, makeRequest(id), body);
    runUntil([&] {
        return response.isFinished();
    });
}

fleet::OwnState GatewayFixture::ownState() const
{
    return {};
}

std::vector<fleet::PlacementRecord> GatewayFixture::ownPlacements() const
{
    return {};
}

std::vector<fleet::QuarantineRecord> GatewayFixture::ownQuarantine() const
{
    return {};
}

fleet::Snapshot GatewayFixture::snapshot() const
{
    return {};
}

void GatewayFixture::onPeerMessage(const fleet::PeerMessage & /*message*/)
{
}

void GatewayFixture::onSnapshot(const fleet::Snapshot & /*snapshot*/)
{
}

void GatewayFixture::onStoreConfirmed(const published::StorePosition & /*position*/, MonoTime /*at*/)
{
}

void GatewayFixture::onPeerLost(const std::string & /*instance*/)
{
}

std::string headerField(const std::string &request, const std::string &name)
{
    const std::size_t at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string plainResponse(
    const std::string &request, int status, const std::string &body, const std::string &moreFields)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + headerField(request, "Request-Id") + "\r\n"
        + moreFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string eventStreamHead(const std::string &request)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerField(request, "Request-Id")
        + "\r\nResponse-Signature: first\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n";
}

std::string eventChunk(int id)
{
    return httpwire::writeChunk("id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n");
}

} // namespace magnolia::gateway::tests
