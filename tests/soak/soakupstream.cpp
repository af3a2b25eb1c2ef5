// What upstreams do with requests and orders.
#include "soakupstream.h"

#include "framework/httpwire/messagewriter.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia::soak
{

namespace
{

using Json = nlohmann::json;

constexpr Milliseconds eventPause{20};
constexpr Milliseconds plainTime{15};
constexpr int slots = 16;

int numberIn(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + '=');
    return at == std::string::npos ? 0 : std::atoi(target.c_str() + at + name.size() + 1);
}

std::string field(const Request &request, const char *name)
{
    return std::string(request.head.fields.value(name));
}

} // namespace

struct SoakUpstream::Stream
{
    std::shared_ptr<ServedConnection> connection;
    std::string id;
    int next = 1;
    int last = 1;
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
    ++m_born;
    m_isLeaving = false;
    m_sickness = Sickness::None;
    m_reservations.clear();
    m_ledger.onUpstreamGone(id);
    m_listener->listen(m_options.ip + ":0");
    m_proxy->setTarget(m_listener->address());
    publish("ready");
}

void SoakUpstream::publish(const std::string &state)
{
    const auto put = [&](const std::string &id, const std::string &service) {
        const Json entry{{"Service", service}, {"Address", m_proxy->address()}, {"Zone", m_options.zone},
            {"Version", "v1"}, {"Slots", slots}, {"State", state}, {"ColdRemainingMs", 0}, {"SeqNo", 0},
            {"born", m_born}};
        m_store.put("servers/" + id, entry.dump());
    };
    put(m_id, m_options.service);
    for (const std::string &alias : m_options.aliases) {
        put(m_id + '.' + alias, alias);
    }
}

void SoakUpstream::cutRunning()
{
    for (const std::string &id : m_running) {
        m_ledger.record(id).metUpstreamFault = true;
    }
    m_running.clear();
}

void SoakUpstream::crash()
{
    cutRunning();
    m_listener->die();
    m_proxy->resetAll();
}

void SoakUpstream::beginLeaving()
{
    m_isLeaving = true;
    publish("draining");
    m_ledger.onLeaving(m_id, m_loop.now());
}

void SoakUpstream::end()
{
    cutRunning();
    m_listener->die();
    m_proxy->resetAll();
    m_store.remove("servers/" + m_id);
    for (const std::string &alias : m_options.aliases) {
        m_store.remove("servers/" + m_id + '.' + alias);
    }
}

void SoakUpstream::setSickness(Sickness sickness)
{
    m_sickness = sickness;
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

int SoakUpstream::heldTokens()
{
    int tokens = 0;
    for (const auto &[name, it] : m_reservations) {
        tokens += it.until > m_loop.now() ? it.tokens : 0;
    }
    return tokens;
}

void SoakUpstream::serve(const std::shared_ptr<ServedConnection> &connection, const Request &request)
{
    if (request.head.target == "/-/order") {
        serveOrder(*connection, request);
        return;
    }
    const std::string id = field(request, "Request-Id");
    const std::string expected = field(request, "Expect-Instance");
    m_ledger.onArrival(id);
    if (expected != m_id && expected.rfind(m_id + '.', 0) != 0) {
        connection->answer(421, {{"Request-Id", id}, {"Not-Executed", "1"}}, {});
        return;
    }
    m_ledger.checkDrain(id, m_id, m_loop.now());
    Record &record = m_ledger.record(id);
    record.metUpstreamFault = record.metUpstreamFault || m_sickness != Sickness::None;
    if (m_sickness == Sickness::Shedding) {
        connection->answer(503, {{"Request-Id", id}, {"Not-Executed", "1"}}, {});
        return;
    }
    m_ledger.onRun(id, m_id);
    m_running.insert(id);
    if (m_sickness == Sickness::Hanging) {
        return;
    }
    if (m_sickness == Sickness::Failing) {
        m_running.erase(id);
        connection->answer(500, {{"Request-Id", id}}, "failed");
        return;
    }
    if (m_options.isEngine) {
        beginStream(connection, request, id);
        return;
    }
    const std::string name = expected == m_id ? m_options.service : expected.substr(m_id.size() + 1);
    m_loop.after(plainTime, [this, connection, id, name] {
        answerPlain(connection, id, name);
    });
}

void SoakUpstream::answerPlain(
    const std::shared_ptr<ServedConnection> &connection, const std::string &id, const std::string &name)
{
    m_running.erase(id);
    const std::string body = "done " + id + " by " + name;
    if (m_sickness == Sickness::Breaking) {
        connection->send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." + id
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, body.size() / 2));
        connection->reset();
        return;
    }
    connection->answer(200, {{"Request-Id", id}, {"Response-Signature", "s." + id}}, body);
}

void SoakUpstream::beginStream(
    const std::shared_ptr<ServedConnection> &connection, const Request &request, const std::string &id)
{
    const auto stream = std::make_shared<Stream>();
    stream->connection = connection;
    stream->id = id;
    stream->next = std::atoi(field(request, "Last-Event-Id").c_str()) + 1;
    stream->last = std::max(1, numberIn(request.head.target, "n"));
    connection->send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." + id
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    m_loop.after(eventPause, [this, stream] {
        writeEvent(stream);
    });
}

void SoakUpstream::writeEvent(const std::shared_ptr<Stream> &stream)
{
    if (!stream->connection->isOpen()) {
        return;
    }
    if (m_sickness == Sickness::Hanging) {
        m_ledger.record(stream->id).metUpstreamFault = true;
        return;
    }
    const std::string event = "id: " + std::to_string(stream->next) + "\ndata: " + stream->id + "\n\n";
    if (m_sickness == Sickness::Breaking && m_random.chance(0.3)) {
        m_ledger.record(stream->id).metUpstreamFault = true;
        // The peer sees half an event, and then the end of the connection.
        stream->connection->send(httpwire::writeChunk(event.substr(0, event.size() / 2)));
        m_loop.after(eventPause, [stream] {
            stream->connection->reset();
        });
        return;
    }
    stream->connection->send(httpwire::writeChunk(event));
    if (stream->next++ >= stream->last) {
        m_running.erase(stream->id);
        stream->connection->send(httpwire::lastChunk);
        stream->connection->finish();
        return;
    }
    m_loop.after(eventPause, [this, stream] {
        writeEvent(stream);
    });
}

void SoakUpstream::serveOrder(ServedConnection &connection, const Request &request)
{
    const Json order = Json::parse(request.body, nullptr, false);
    if (!order.is_object()) {
        connection.answer(400, {}, {});
        return;
    }
    const std::string name = order.value("Id", "");
    if (order.value("Operation", "") == "release") {
        m_reservations.erase(name);
        connection.answer(200, {}, "{}");
        return;
    }
    const int tokens = order.value("Tokens", 0);
    const auto known = m_reservations.find(name);
    const int others = heldTokens() - (known == m_reservations.end() ? 0 : known->second.tokens);
    if (tokens > m_options.memoryTokens || others + tokens > m_options.memoryTokens) {
        connection.answer(tokens > m_options.memoryTokens ? 400 : 409, {}, {});
        return;
    }
    m_reservations[name] = {tokens, m_loop.now() + Milliseconds(order.value("HoldMs", 0))};
    connection.answer(200, {}, Json{{"Free", m_options.memoryTokens - others - tokens}}.dump());
}

} // namespace magnolia::soak
