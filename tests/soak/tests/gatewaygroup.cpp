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
        stream->input().clear();
    }
    void onEnd(eventloop::StreamEnd /*end*/) override
    {
        stream->close();
    }

    std::shared_ptr<eventloop::TcpStream> stream;
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
    const Json configuration{{"Version", version}, {"Routes", {route}}, {"Services", {{{"Name", "app"}}}}};
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

void GatewayGroup::sendRequest(const std::string &id)
{
    const auto sender = std::make_shared<Sender>();
    const auto &gateway = m_gateways[m_senders.size() % m_gateways.size()];
    sender->stream = eventloop::TcpStream::connect(loop, gateway->callerAddress(), *sender, {});
    sender->stream->write("GET /safe/x HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: 4000\r\nConnection: close\r\n\r\n");
    m_senders.push_back(sender);
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
