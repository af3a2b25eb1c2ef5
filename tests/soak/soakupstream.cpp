// Serves requests and memory reservation orders.
#include "soakupstream.h"

#include "framework/httpwire/messagewriter.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia::soak
{

namespace
{

using Json = nlohmann::json;

constexpr Milliseconds eventInterval{20};
constexpr Milliseconds plainResponseDelay{15};
constexpr int slots = 16;
/** Time from the begin of a request to the crash that it causes; shorter than the time to its first event. */
constexpr Milliseconds crashDelay{12};
/** Retry-After of an upstream that turns gateways away. */
constexpr Milliseconds turnAwayTime{2000};

int queryNumber(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + '=');
    return at == std::string::npos ? 0 : std::atoi(target.c_str() + at + name.size() + 1);
}

std::string fieldValue(const Request &request, const char *name)
{
    return std::string(request.head.fields.value(name));
}

} // namespace

struct SoakUpstream::Stream
{
    std::shared_ptr<ServedConnection> connection;
    std::string id;
    int nextEvent = 1;
    int lastEvent = 1;
};

SoakUpstream::SoakUpstream(
    eventloop::EventLoop &loop, Options options, SoakStore &store, Ledger &ledger, Random &random)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_store(store)
    , m_ledger(ledger)
    , m_random(random)
    , m_listener(std::make_shared<HttpListener>(loop,
          [this](const auto &connection, const Request &request) {
              serve(connection, request);
          }))
    , m_proxy(std::make_shared<Proxy>(loop, ""))
{
    m_proxy->listen(m_options.ip + ":0");
}

void SoakUpstream::start(const std::string &id)
{
    m_id = id;
    ++m_startTimestamp;
    m_isLeaving = false;
    m_faultMode = FaultMode::None;
    setLimit(std::nullopt);
    m_reservations.clear();
    m_ledger.clearLeaving(id);
    m_listener->listen(m_options.ip + ":0");
    m_proxy->setTarget(m_listener->address());
    m_proxy->resumeListening();
    publish("ready");
}

void SoakUpstream::publish(const std::string &state)
{
    const auto put = [&](const std::string &id, const std::string &service) {
        const Json entry{{"Service", service}, {"Address", m_proxy->address()}, {"Zone", m_options.zone},
            {"Version", "v1"}, {"Slots", slots}, {"State", state}, {"ColdRemainingMs", 0}, {"SeqNo", 0},
            {"born", m_startTimestamp}};
        m_store.put("servers/" + id, entry.dump());
    };
    put(m_id, m_options.service);
    for (const std::string &alias : m_options.aliases) {
        put(m_id + '.' + alias, alias);
    }
}

void SoakUpstream::interruptRunningRequests()
{
    for (const std::string &id : m_runningRequests) {
        m_ledger.record(id).hasUpstreamFault = true;
    }
    m_runningRequests.clear();
}

void SoakUpstream::crash()
{
    interruptRunningRequests();
    m_listener->closeAndReset();
    m_proxy->stopListening();
    m_proxy->resetAll();
}

void SoakUpstream::crashBy(const std::string &trigger, const std::shared_ptr<ServedConnection> &connection)
{
    m_loop.after(crashDelay, [this, trigger, connection] {
        if (!connection->isOpen() || !isRunning()) {
            return;
        }
        m_ledger.recordCrash(trigger, m_loop.now());
        crash();
        m_options.onCrashed(*this);
    });
}

void SoakUpstream::announceLeave()
{
    m_isLeaving = true;
    publish("draining");
    m_ledger.recordLeaving(m_id, m_loop.now());
}

void SoakUpstream::stop()
{
    interruptRunningRequests();
    m_listener->closeAndReset();
    m_proxy->resetAll();
    m_store.remove("servers/" + m_id);
    for (const std::string &alias : m_options.aliases) {
        m_store.remove("servers/" + m_id + '.' + alias);
    }
}

void SoakUpstream::setFaultMode(FaultMode faultMode)
{
    m_faultMode = faultMode;
}

void SoakUpstream::setLimit(std::optional<double> requestsPerSecond)
{
    m_limit = requestsPerSecond;
    m_ledger.recordLimit(m_id, requestsPerSecond, m_loop.now());
}

SoakUpstream::Fields SoakUpstream::answerFields(const std::string &id, Fields more) const
{
    if (!id.empty()) {
        more.emplace_back("Request-Id", id);
    }
    if (m_isLeaving) {
        more.emplace_back("Server-Leaving", "1");
    }
    if (m_limit) {
        more.emplace_back("Server-Limit", std::to_string(*m_limit));
    }
    return more;
}

Proxy &SoakUpstream::proxy()
{
    return *m_proxy;
}

bool SoakUpstream::isRunning() const
{
    return m_listener->isListening();
}

bool SoakUpstream::isLeaving() const
{
    return m_isLeaving;
}

const std::string &SoakUpstream::id() const
{
    return m_id;
}

int SoakUpstream::reservedTokens()
{
    int tokens = 0;
    for (const auto &[reservationId, it] : m_reservations) {
        tokens += it.expiresAt > m_loop.now() ? it.tokens : 0;
    }
    return tokens;
}

void SoakUpstream::serve(const std::shared_ptr<ServedConnection> &connection, const Request &request)
{
    if (request.head.target == "/-/order") {
        serveOrder(*connection, request);
        return;
    }
    const std::string id = fieldValue(request, "Request-Id");
    const std::string expected = fieldValue(request, "Expect-Instance");
    m_ledger.recordArrival(id);
    if (expected != m_id && expected.rfind(m_id + '.', 0) != 0) {
        connection->sendResponse(421, {{"Request-Id", id}, {"Not-Executed", "1"}}, {});
        return;
    }
    m_ledger.checkDrain(id, m_id, m_loop.now());
    m_ledger.checkEvacuation(id, m_options.zone, m_loop.now());
    m_ledger.checkLimit(id, m_id, m_loop.now());
    const std::string process = m_options.processAt ? m_options.processAt(connection->peerIp()) : std::string();
    m_ledger.checkTurnedAway(id, m_id, process, m_loop.now());
    RequestRecord &record = m_ledger.record(id);
    record.hasUpstreamFault = record.hasUpstreamFault || m_faultMode != FaultMode::None;
    if (m_faultMode == FaultMode::Refusing) {
        connection->sendResponse(503, answerFields(id, {{"Not-Executed", "1"}}), {});
        return;
    }
    if (m_faultMode == FaultMode::TurningAway) {
        m_ledger.recordTurnedAway(m_id, process, m_loop.now(), turnAwayTime);
        connection->sendResponse(503,
            answerFields(id, {{"Not-Executed", "1"}, {"Retry-After", std::to_string(turnAwayTime.count() / 1000)}}),
            {});
        return;
    }
    m_ledger.recordExecution(id, m_id);
    m_runningRequests.insert(id);
    const std::string trigger = m_options.findCrashTrigger ? m_options.findCrashTrigger(request) : std::string();
    if (!trigger.empty()) {
        m_ledger.checkCrashTrigger(trigger, id, m_loop.now());
        crashBy(trigger, connection);
        return;
    }
    if (m_faultMode == FaultMode::Hanging) {
        return;
    }
    if (m_faultMode == FaultMode::Failing) {
        m_runningRequests.erase(id);
        connection->sendResponse(500, answerFields(id), "failed");
        return;
    }
    if (m_options.isEngine) {
        startStream(connection, request, id);
        return;
    }
    const std::string name = expected == m_id ? m_options.service : expected.substr(m_id.size() + 1);
    m_loop.after(plainResponseDelay, [this, connection, id, name] {
        sendPlainResponse(connection, id, name);
    });
}

void SoakUpstream::sendPlainResponse(
    const std::shared_ptr<ServedConnection> &connection, const std::string &id, const std::string &name)
{
    m_runningRequests.erase(id);
    const std::string body = "done " + id + " by " + name;
    if (m_faultMode == FaultMode::Truncating) {
        connection->send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." + id
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, body.size() / 2));
        connection->reset();
        return;
    }
    connection->sendResponse(200, answerFields(id, {{"Response-Signature", "s." + id}}), body);
}

void SoakUpstream::startStream(
    const std::shared_ptr<ServedConnection> &connection, const Request &request, const std::string &id)
{
    const auto stream = std::make_shared<Stream>();
    stream->connection = connection;
    stream->id = id;
    stream->nextEvent = std::atoi(fieldValue(request, "Last-Event-Id").c_str()) + 1;
    stream->lastEvent = std::max(1, queryNumber(request.head.target, "n"));
    httpwire::ResponseHead head;
    head.status = 200;
    head.fields.add("Response-Signature", "s." + id);
    head.fields.add("Content-Type", "text/event-stream");
    head.fields.add("Transfer-Encoding", "chunked");
    for (const auto &[name, value] : answerFields(id)) {
        head.fields.add(name, value);
    }
    connection->send(httpwire::writeResponseHead(head));
    m_loop.after(eventInterval, [this, stream] {
        writeEvent(stream);
    });
}

void SoakUpstream::writeEvent(const std::shared_ptr<Stream> &stream)
{
    if (!stream->connection->isOpen()) {
        return;
    }
    if (m_faultMode == FaultMode::Hanging) {
        m_ledger.record(stream->id).hasUpstreamFault = true;
        return;
    }
    const std::string event = "id: " + std::to_string(stream->nextEvent) + "\ndata: " + stream->id + "\n\n";
    if (m_faultMode == FaultMode::Truncating && m_random.chance(0.3)) {
        m_ledger.record(stream->id).hasUpstreamFault = true;
        // The gateway receives half an event before the connection is reset.
        stream->connection->send(httpwire::writeChunk(event.substr(0, event.size() / 2)));
        m_loop.after(eventInterval, [stream] {
            stream->connection->reset();
        });
        return;
    }
    stream->connection->send(httpwire::writeChunk(event));
    if (stream->nextEvent++ >= stream->lastEvent) {
        m_runningRequests.erase(stream->id);
        stream->connection->send(httpwire::lastChunk);
        stream->connection->finishResponse();
        return;
    }
    m_loop.after(eventInterval, [this, stream] {
        writeEvent(stream);
    });
}

void SoakUpstream::serveOrder(ServedConnection &connection, const Request &request)
{
    const Json order = Json::parse(request.body, nullptr, false);
    if (!order.is_object()) {
        connection.sendResponse(400, answerFields({}), {});
        return;
    }
    const std::string reservationId = order.value("Id", "");
    if (order.value("Operation", "") == "release") {
        m_reservations.erase(reservationId);
        connection.sendResponse(200, answerFields({}), "{}");
        return;
    }
    const int tokens = order.value("Tokens", 0);
    const auto existing = m_reservations.find(reservationId);
    const int otherTokens = reservedTokens() - (existing == m_reservations.end() ? 0 : existing->second.tokens);
    if (tokens > m_options.kvCapacityTokens || otherTokens + tokens > m_options.kvCapacityTokens) {
        connection.sendResponse(tokens > m_options.kvCapacityTokens ? 400 : 409, answerFields({}), {});
        return;
    }
    m_reservations[reservationId] = {tokens, m_loop.now() + Milliseconds(order.value("HoldMs", 0))};
    connection.sendResponse(
        200, answerFields({}), Json{{"Free", m_options.kvCapacityTokens - otherTokens - tokens}}.dump());
}

} // namespace magnolia::soak
