// The client against a server socket on loopback that answers byte by byte as a test says.
#include "upstreams/upstreamclient.h"

#include <catch2/catch.hpp>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <thread>

using namespace magnolia;
using namespace magnolia::upstreams;

namespace
{

/** Accepts connections, counts those that sent a request and answers each with the same bytes. */
class ScriptedServer
{
public:
    ScriptedServer(std::string answer, bool closes)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_answer(std::move(answer))
        , m_closes(closes)
        , m_thread([this] {
            run();
        })
    {
    }
    ~ScriptedServer()
    {
        m_isStopping = true;
        m_thread.join();
    }
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    [[nodiscard]] std::string address() const
    {
        return m_socket.address().toString();
    }
    [[nodiscard]] int requestCount() const
    {
        return m_requests;
    }

private:
    void run()
    {
        std::vector<Poco::Net::StreamSocket> kept;
        while (!m_isStopping) {
            if (!m_socket.poll(Poco::Timespan(0, 10000), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            Poco::Net::StreamSocket peer = m_socket.acceptConnection();
            char buf[4096];
            if (peer.receiveBytes(buf, sizeof(buf)) <= 0) {
                continue;
            }
            ++m_requests;
            if (!m_answer.empty()) {
                peer.sendBytes(m_answer.data(), static_cast<int>(m_answer.size()));
            }
            if (m_closes) {
                peer.shutdown();
            }
            kept.push_back(peer);
        }
    }

    Poco::Net::ServerSocket m_socket;
    std::string m_answer;
    bool m_closes;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_requests = 0;
    std::thread m_thread;
};

constexpr Milliseconds longWait{10000};

UpstreamCall callTo(const std::string &address)
{
    UpstreamCall call;
    call.address = address;
    call.path = "/v1/x";
    call.request = RequestId("r-1");
    call.body = std::make_shared<const std::string>("{}");
    return call;
}

Result<void> allow()
{
    return {};
}

struct Whole
{
    ReceiveState end = ReceiveState::Broken;
    std::string body;
};

Whole readAll(IUpstreamAnswer &answer)
{
    Whole whole;
    if (answer.awaitHead(longWait) != ReceiveState::Data) {
        return whole;
    }
    while (true) {
        const ReceiveResult received = answer.receive(longWait);
        if (received.state != ReceiveState::Data) {
            whole.end = received.state;
            return whole;
        }
        whole.body += received.bytes;
    }
}

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Request-Id: r-1\r\n\r\n";

} // namespace

TEST_CASE("a whole chunked answer ends, one that is cut is broken")
{
    const auto client = makeHttpUpstreamClient();
    SECTION("whole")
    {
        const ScriptedServer server(chunkedHead + "5\r\nhello\r\n3\r\nabc\r\n0\r\n\r\n", false);
        auto answer = client->send(callTo(server.address()), allow);
        REQUIRE(answer.has_value());
        const Whole whole = readAll(**answer);
        CHECK(whole.end == ReceiveState::End);
        CHECK(whole.body == "helloabc");
        CHECK((*answer)->header("x-request-id") == "r-1");
    }
    SECTION("cut between chunks")
    {
        const ScriptedServer server(chunkedHead + "5\r\nhello\r\n", true);
        auto answer = client->send(callTo(server.address()), allow);
        REQUIRE(answer.has_value());
        CHECK(readAll(**answer).end == ReceiveState::Broken);
    }
    SECTION("cut within a chunk")
    {
        const ScriptedServer server(chunkedHead + "9\r\nhello", true);
        auto answer = client->send(callTo(server.address()), allow);
        REQUIRE(answer.has_value());
        CHECK(readAll(**answer).end == ReceiveState::Broken);
    }
}

TEST_CASE("an answer of known length is whole only at that length")
{
    const auto client = makeHttpUpstreamClient();
    SECTION("whole, and nothing is waited for behind it")
    {
        const ScriptedServer server("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false);
        auto answer = client->send(callTo(server.address()), allow);
        REQUIRE(answer.has_value());
        const Whole whole = readAll(**answer);
        CHECK(whole.end == ReceiveState::End);
        CHECK(whole.body == "hello");
    }
    SECTION("cut")
    {
        const ScriptedServer server("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", true);
        auto answer = client->send(callTo(server.address()), allow);
        REQUIRE(answer.has_value());
        CHECK(readAll(**answer).end == ReceiveState::Broken);
    }
}

TEST_CASE("a silent connection is told apart from a broken one")
{
    const auto client = makeHttpUpstreamClient();
    const ScriptedServer server("", false);
    auto answer = client->send(callTo(server.address()), allow);
    REQUIRE(answer.has_value());
    CHECK((*answer)->awaitHead(Milliseconds(20)) == ReceiveState::Waiting);
    CHECK((*answer)->status() == 0);
}

TEST_CASE("a refused dispatch sends nothing")
{
    const auto client = makeHttpUpstreamClient();
    const ScriptedServer server(chunkedHead, false);
    const auto answer = client->send(callTo(server.address()), []() -> Result<void> {
        return makeError(ResultCode::KeyOwnershipUnconfirmed, "");
    });
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().code == ResultCode::KeyOwnershipUnconfirmed);
    CHECK(answer.error().outcome == Outcome::NotRun);
    CHECK(server.requestCount() == 0);
}

TEST_CASE("a server that takes the request and closes sees it once")
{
    const auto client = makeHttpUpstreamClient();
    const ScriptedServer server("", true);
    auto answer = client->send(callTo(server.address()), allow);
    if (answer) {
        CHECK((*answer)->awaitHead(longWait) == ReceiveState::Broken);
    }
    CHECK(server.requestCount() == 1);
}

TEST_CASE("an address where nobody listens is a failed connection, with proof that nothing ran")
{
    std::string address;
    {
        const Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
        address = closed.address().toString();
    }
    const auto answer = makeHttpUpstreamClient()->send(callTo(address), allow);
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().code == ResultCode::UpstreamConnectFailed);
    CHECK(answer.error().outcome == Outcome::NotRun);
}
