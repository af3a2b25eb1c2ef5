// Set-up of a request's way without a network beyond loopback.
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
    names.tokenUsage = "Tokens";
    names.outputEstimate = "Output-Estimate";
    names.lastEventId = "Last-Event-Id";
    names.enginePriority = "Engine-Priority";
    names.helpers = "Helpers";
    names.notExecuted = "Not-Executed";
    names.signature = "Response-Signature";
    names.upstreamAtFault = "At-Fault";
    names.retryAfter = "Retry-After";
    names.upstreamLoad = "Load";
    return names;
}

GatewaySettings makeSettings()
{
    GatewaySettings settings;
    settings.instance = InstanceId("self");
    settings.dataCentre = DataCentreId("here");
    settings.names = makeNames();
    settings.paths.engineOrder = "/order";
    return settings;
}

} // namespace

void RecordedAnswer::answer(httpwire::ResponseHead theHead, std::string_view theBody)
{
    head = std::move(theHead);
    body = theBody;
    isWhole = true;
}

void RecordedAnswer::begin(httpwire::ResponseHead theHead)
{
    head = std::move(theHead);
    isBegun = true;
}

void RecordedAnswer::piece(std::string_view bytes)
{
    body.append(bytes);
}

void RecordedAnswer::end()
{
    isWhole = true;
}

void RecordedAnswer::breakOff()
{
    isBrokenOff = true;
}

std::size_t RecordedAnswer::pendingBytes() const
{
    return 0;
}

bool RecordedAnswer::isOver() const
{
    return isWhole || isBrokenOff;
}

GatewayFixture::GatewayFixture()
    : settings(makeSettings())
    , context(loop, settings, seed)
    , catalogue(std::make_shared<catalogue::Catalogue>())
{
    fleet::FleetLinkSettings link;
    link.instance = "self";
    context.fleet = std::make_shared<fleet::FleetLink>(loop, link, *this);
    catalogue->version = 1;
    context.catalogue = catalogue;
    context.writeMemoryOrder = [](const MemoryOrder &order) {
        return (order.isRelease ? "release " : "reserve ") + order.reservationId;
    };
}

ScriptedUpstream &GatewayFixture::addUpstream(const std::string &service, ScriptedUpstream::Script script)
{
    upstreams.push_back(std::make_shared<ScriptedUpstream>(loop, std::move(script)));
    upstreams.back()->listen();
    catalogue->services.try_emplace(service).first->second.name = service;
    const std::string name = "u" + std::to_string(upstreams.size());
    catalogue::UpstreamEntry entry;
    entry.id = UpstreamId(name);
    entry.service = service;
    entry.address = upstreams.back()->address();
    entry.dataCentre = DataCentreId("here");
    entry.slots = 4;
    held[name] = {entry, {}, std::nullopt};
    context.upstreams.rebuild(held, settings.dataCentre);
    return *upstreams.back();
}

catalogue::Route GatewayFixture::makeRoute(catalogue::RouteKind kind) const
{
    catalogue::Route made;
    made.name = "route";
    made.kind = kind;
    made.destinations = {{"service", 1}};
    made.maxAttempts = 2;
    made.isResumable = kind == catalogue::RouteKind::Stream;
    return made;
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

std::shared_ptr<Exchange> GatewayFixture::begin(
    const catalogue::Route &theRoute, httpwire::RequestHead head, const std::string &body)
{
    route = theRoute;
    answer = {};
    const catalogue::OrganisationEntry organisation{OrganisationId("acme"), std::nullopt};
    auto exchange = std::make_shared<Exchange>(context, route, organisation, std::move(head), body, loop.now(), answer);
    exchange->start();
    return exchange;
}

void GatewayFixture::runUntil(const std::function<bool()> &isDone, Milliseconds time)
{
    if (isDone()) {
        return;
    }
    bool isOver = false;
    std::function<void()> check = [&] {
        if (isOver || isDone()) {
            loop.stop();
            return;
        }
        loop.after(Milliseconds(2), check);
    };
    const eventloop::TimerId limit = loop.after(time, [&] {
        isOver = true;
    });
    check();
    loop.run();
    loop.cancel(limit);
}

void GatewayFixture::runRequest(const catalogue::Route &theRoute, const std::string &id, const std::string &body)
{
    const auto exchange = begin(theRoute, makeRequest(id), body);
    runUntil([&] {
        return answer.isOver();
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

void GatewayFixture::onPeerLost(const std::string & /*instance*/)
{
}

std::string fieldOf(const std::string &request, const std::string &name)
{
    const std::size_t at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string plainAnswer(const std::string &request, int status, const std::string &body, const std::string &moreFields)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + fieldOf(request, "Request-Id") + "\r\n"
        + moreFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string streamHead(const std::string &request)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + fieldOf(request, "Request-Id")
        + "\r\nResponse-Signature: first\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n";
}

std::string eventChunk(int id)
{
    return httpwire::writeChunk("id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n");
}

} // namespace magnolia::gateway::tests
