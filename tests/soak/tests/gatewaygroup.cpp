// Starts the gateway processes and reads their status.
#include "gatewaygroup.h"

#include "framework/eventloop/itcpstreamlistener.h"
#include "framework/eventloop/tcpstream.h"
#include "framework/httpclient/httpclient.h"

#include <algorithm>
#include <unistd.h>

namespace magnolia::soak
{

namespace
{

using Json = nlohmann::json;

constexpr int firstPort = 22'000;
constexpr std::size_t gatewayCount = 3;
constexpr Milliseconds pollInterval{50};
constexpr std::size_t maxStatusSize = 1 << 20;

} // namespace

struct GatewayGroup::Sender : eventloop::ITcpStreamListener
{
    void onInput() override
    {
        received.append(stream->input());
        stream->input().clear();
    }
    void onEnd(eventloop::StreamEnd /*end*/) override
    {
        stream->close();
    }

    std::shared_ptr<eventloop::TcpStream> stream;
    std::string received;
};

GatewayGroup::GatewayGroup()
    : m_directory(std::filesystem::temp_directory_path() / ("magnolia-group-" + std::to_string(::getpid())))
    , store(loop, loopbackAddress(2) + ":0")
    , m_statuses(gatewayCount)
{
    std::filesystem::create_directories(m_directory);
    publish(1);
    constexpr std::size_t firstHost = 10;
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < gatewayCount; ++i) {
        seeds.push_back(loopbackAddress(firstHost + i));
    }
    for (std::size_t i = 0; i < gatewayCount; ++i) {
        m_gateways.push_back(std::make_unique<GatewayProcess>(GatewayProcess::Options{MAGNOLIA_BINARY, m_directory,
            "s" + std::to_string(i), "z" + std::to_string(i), seeds[i], firstPort, store.address(), seeds}));
        m_gateways.back()->start();
    }
    pollStatuses();
}

GatewayGroup::~GatewayGroup()
{
    m_gateways.clear();
    std::filesystem::remove_all(m_directory);
}

std::string GatewayGroup::loopbackAddress(std::size_t host)
{
    const int pid = static_cast<int>(::getpid());
    return "127." + std::to_string(220 + pid / 250 % 20) + '.' + std::to_string(1 + pid % 250) + '.'
        + std::to_string(host);
}

void GatewayGroup::publish(int version)
{
    const Json route{{"Name", "safe"}, {"Host", "soak.example"}, {"Prefix", "/safe/"}, {"Kind", "safe"},
        {"Service", "app"}, {"TimeoutMs", 4000}, {"TargetLatencyMs", 1000}, {"Priority", 1}, {"MaxAttempts", 2}};
    const Json streamRoute{{"Name", "stream"}, {"Host", "soak.example"}, {"Prefix", "/stream/"}, {"Kind", "streaming"},
        {"Service", "engine"}, {"TimeoutMs", 7000}, {"TargetLatencyMs", 1000}, {"GapTargetMs", 500}, {"Priority", 1},
        {"MaxAttempts", 2}, {"Resumable", true}};
    const Json engine{{"Slots", 16}, {"KvCapacityTokens", 100'000}, {"Stride", 10}, {"step_ms", 1.0},
        {"per_seq_ms", 0.001}, {"context_per_k", 0.001}, {"read_per_s", 1'000'000}, {"pairs_per_m", 0.001},
        {"chunk", 2048}, {"HopMs", 0.1}};
    const Json configuration{{"Version", version}, {"Routes", {route, streamRoute}},
        {"Services", {{{"Name", "app"}}, {{"Name", "engine"}, {"Engine", engine}}}}};
    store.put("op/config", configuration.dump());
}

bool GatewayGroup::runUntil(const std::function<bool()> &isDone, Milliseconds time)
{
    const MonoTime begunAt = eventloop::EventLoop::readClock();
    std::function<void()> check = [&] {
        if (isDone() || eventloop::EventLoop::readClock() - begunAt > time) {
            loop.stop();
            return;
        }
        loop.after(pollInterval, check);
    };
    loop.after(Milliseconds(1), check);
    loop.run();
    return isDone();
}

void GatewayGroup::runFor(Milliseconds time)
{
    runUntil(
        [] {
            return false;
        },
        time);
}

bool GatewayGroup::isInForceEverywhere(int version) const
{
    return std::all_of(m_statuses.begin(), m_statuses.end(), [&](const Json &it) {
        return it.is_object() && it.value("configuration_version", 0) == version;
    });
}

bool GatewayGroup::isUpstreamCountEverywhere(std::size_t count) const
{
    return std::all_of(m_statuses.begin(), m_statuses.end(), [&](const Json &it) {
        return it.is_object() && it.contains("upstreams") && it["upstreams"].size() == count;
    });
}

bool GatewayGroup::isUpstreamFieldEverywhere(const std::string &name, const Json &value) const
{
    return std::all_of(m_statuses.begin(), m_statuses.end(), [&](const Json &it) {
        const bool hasUpstream = it.is_object() && it.contains("upstreams") && !it["upstreams"].empty();
        return hasUpstream && it["upstreams"].front().value(name, Json()) == value;
    });
}

void GatewayGroup::send(
    const std::string &id, const std::string &requestLine, const std::string &body, const std::string &moreFields)
{
    const auto sender = std::make_shared<Sender>();
    const auto &gateway = m_gateways[m_senders.size() % m_gateways.size()];
    sender->stream = eventloop::TcpStream::connect(loop, gateway->callerAddress(), *sender, {});
    sender->stream->write(requestLine + " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: 4000\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + moreFields
        + "\r\n\r\n" + body);
    m_senders.push_back(sender);
    m_senderById[id] = sender;
}

void GatewayGroup::sendRequest(const std::string &id, const std::string &path, const std::string &body)
{
    send(id, "GET " + path, body);
}

void GatewayGroup::sendPrompt(const std::string &id, const std::string &parts)
{
    constexpr const char *fields = "\r\nModel: m\r\nToken-Usage: 800,40\r\nPrompt-Prefix: ";
    send(id, "POST /stream/x?n=10", {}, fields + parts);
}

int GatewayGroup::statusOf(const std::string &id) const
{
    constexpr std::size_t statusAt = 9;
    const auto it = m_senderById.find(id);
    return it == m_senderById.end() || it->second->received.size() < statusAt
        ? 0
        : std::atoi(it->second->received.c_str() + statusAt);
}

bool GatewayGroup::isStreamComplete(const std::string &id) const
{
    const auto it = m_senderById.find(id);
    return it != m_senderById.end() && it->second->received.ends_with("0\r\n\r\n");
}

void GatewayGroup::pollStatuses()
{
    for (std::size_t i = 0; i < gatewayCount; ++i) {
        const auto call = std::make_shared<httpclient::HttpClient>(
            loop, m_gateways[i]->metricsAddress(), eventloop::TcpTimeouts{}, maxStatusSize);
        call->send(
            "GET", "/status", {}, Milliseconds(1000), [this, i, call](const Result<httpclient::HttpReply> &reply) {
                m_statuses[i] = reply ? Json::parse(reply->body, nullptr, false) : Json();
            });
    }
    loop.after(pollInterval, [this] {
        pollStatuses();
    });
}

} // namespace magnolia::soak
