// Shows over loopback sockets that POCO's client session resends a request without an error to its caller, which would
// execute it twice, and that the project's upstream client sends it at most once.
#include "upstreams/upstreamclient.h"

#include <catch2/catch.hpp>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>

#include <atomic>
#include <string>
#include <thread>

using namespace magnolia;

namespace
{

const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 2\r\n\r\nok";

/** Counts connections and requests, and resets each connection after its first request. */
class ResettingServer
{
public:
    explicit ResettingServer(bool answersFirst)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_answersFirst(answersFirst)
        , m_thread([this] {
            run();
        })
    {
    }
    ~ResettingServer()
    {
        m_isStopping = true;
        m_thread.join();
    }
    ResettingServer(const ResettingServer &) = delete;
    ResettingServer &operator=(const ResettingServer &) = delete;

    [[nodiscard]] Poco::Net::SocketAddress address() const
    {
        return m_socket.address();
    }
    [[nodiscard]] int connections() const
    {
        return m_connections;
    }
    [[nodiscard]] int requests() const
    {
        return m_requests;
    }
    /** Allows the server to reset one more answered connection, once the client has read the answer. */
    void allowReset()
    {
        ++m_resetsAllowed;
    }
    void awaitResets(int count) const
    {
        while (m_resets < count) {
            std::this_thread::yield();
        }
    }
    /** Waits long enough for an unexpected further connection to arrive. */
    static void waitForLateConnections()
    {
        std::this_thread::sleep_for(Milliseconds(200));
    }

private:
    void run()
    {
        const Poco::Timespan pollTime(0, 10'000);
        while (!m_isStopping) {
            if (m_socket.poll(pollTime, Poco::Net::Socket::SELECT_READ)) {
                Poco::Net::StreamSocket peer = m_socket.acceptConnection();
                ++m_connections;
                serve(peer);
            }
        }
    }
    void serve(Poco::Net::StreamSocket &peer)
    {
        char buf[4096];
        const Poco::Timespan requestWait(1, 0);
        if (peer.poll(requestWait, Poco::Net::Socket::SELECT_READ) && peer.receiveBytes(buf, sizeof(buf)) > 0) {
            ++m_requests;
        }
        const bool isAnswered = m_answersFirst || m_connections > 1;
        if (isAnswered) {
            peer.sendBytes(wholeAnswer.data(), static_cast<int>(wholeAnswer.size()));
            // A reset discards an answer that the client has not read yet.
            while (m_resetsAllowed <= m_resets && !m_isStopping) {
                std::this_thread::yield();
            }
        }
        peer.setLinger(true, 0);
        peer.close();
        ++m_resets;
    }

    Poco::Net::ServerSocket m_socket;
    bool m_answersFirst;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_connections = 0;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_resets = 0;
    std::atomic<int> m_resetsAllowed = 0;
    std::thread m_thread;
};

void callOnce(Poco::Net::HTTPClientSession &session)
{
    Poco::Net::HTTPRequest request("POST", "/bookings", Poco::Net::HTTPMessage::HTTP_1_1);
    request.setKeepAlive(true);
    request.setContentLength(4);
    session.sendRequest(request) << "body";
    Poco::Net::HTTPResponse response;
    Poco::NullOutputStream nullStream;
    Poco::StreamCopier::copyStream(session.receiveResponse(response), nullStream);
}

upstreams::UpstreamCall makeBookingCall(const ResettingServer &server)
{
    upstreams::UpstreamCall call;
    call.address = server.address().toString();
    call.path = "/bookings";
    call.request = RequestId("r-1");
    call.body = std::make_shared<const std::string>("body");
    return call;
}

} // namespace

TEST_CASE("a keep-alive session of POCO resends a request on a new connection without an error to the caller")
{
    ResettingServer server(true);
    Poco::Net::HTTPClientSession session(server.address());
    session.setKeepAlive(true);
    callOnce(session);
    server.allowReset();
    server.awaitResets(1);
    // The write on the reset connection fails. The library reconnects and resends without reporting an error.
    REQUIRE_NOTHROW(callOnce(session));
    CHECK(server.connections() == 2);
    CHECK(server.requests() == 2);
}

TEST_CASE("a call of the upstream client reaches an upstream that resets the connection once, with outcome unknown")
{
    ResettingServer server(false);
    const auto client = upstreams::makeHttpUpstreamClient();
    int checkCount = 0;
    const auto answer = client->send(makeBookingCall(server), [&checkCount]() -> Result<void> {
        ++checkCount;
        return {};
    });
    if (answer) {
        CHECK((*answer)->awaitHead(Seconds(2)) == upstreams::ReceiveState::Broken);
    } else {
        CHECK(answer.error().outcome == Outcome::Unknown);
    }
    ResettingServer::waitForLateConnections();
    CHECK(server.connections() == 1);
    CHECK(server.requests() <= 1);
    CHECK(checkCount == 1);
}

TEST_CASE("the upstream client opens no new connection after a reset between the last check and the write")
{
    ResettingServer server(false);
    const auto client = upstreams::makeHttpUpstreamClient();
    const auto answer = client->send(makeBookingCall(server), [&server]() -> Result<void> {
        // Waits until the server, which times out without a request, has reset the connection.
        server.awaitResets(1);
        return {};
    });
    const bool isBroken = !answer || (*answer)->awaitHead(Seconds(2)) == upstreams::ReceiveState::Broken;
    CHECK(isBroken);
    ResettingServer::waitForLateConnections();
    CHECK(server.connections() == 1);
    CHECK(server.requests() == 0);
}
