// The server with malformed, oversized and slow requests, over loopback sockets.
#include "framework/httpserver/httpserver.h"

#include <catch2/catch.hpp>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

using namespace magnolia;

namespace
{

class EchoHandler : public IHttpHandler
{
public:
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        const std::string body = request.getURI();
        response.sendBuffer(body.data(), body.size());
    }
    void refuse(Poco::Net::HTTPServerResponse &response, const Error &error) override
    {
        const auto code = std::to_string(static_cast<int>(error.code));
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(resultCodeInfo(error.code).httpStatus));
        response.sendBuffer(code.data(), code.size());
    }
};

class Listener
{
public:
    explicit Listener(const HttpServerLimits &limits = {})
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_server(HttpServer::serve(m_socket, m_handler, limits))
    {
    }

    /** Sends `text` and returns the bytes received until the close, or at least `size` bytes. */
    [[nodiscard]] std::string sendAndReceive(const std::string &text, std::size_t size = 4096)
    {
        Poco::Net::StreamSocket socket(m_socket.address());
        socket.setReceiveTimeout(Poco::Timespan(20, 0));
        std::string answer;
        if (!text.empty()) {
            socket.sendBytes(text.data(), static_cast<int>(text.size()));
        }
        char buf[4096];
        int n = 0;
        while (answer.size() < size && (n = socket.receiveBytes(buf, sizeof(buf))) > 0) {
            answer.append(buf, static_cast<std::size_t>(n));
        }
        return answer;
    }

private:
    EchoHandler m_handler;
    Poco::Net::ServerSocket m_socket;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace

TEST_CASE("a request is answered, and the connection is closed if the caller asks for it")
{
    Listener listener;
    const std::string answer = listener.sendAndReceive("GET /abc HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("/abc"));
}

TEST_CASE("two requests on one connection are answered in order")
{
    Listener listener;
    const std::string twoRequests
        = "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    const std::string answer = listener.sendAndReceive(twoRequests);
    CHECK(answer.find("/a") != std::string::npos);
    CHECK(answer.ends_with("/b"));
}

TEST_CASE("a malformed head is refused with RequestMalformed")
{
    Listener listener;
    CHECK(listener.sendAndReceive("GET / NONSENSE/1.1\r\n\r\n").find("1001") != std::string::npos);
}

TEST_CASE("input that is not HTTP gets an HTTP response with RequestMalformed")
{
    Listener listener;
    const std::string answer = listener.sendAndReceive("drum head 4711?\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 "));
    CHECK(answer.find("1001") != std::string::npos);
}

TEST_CASE("too many header fields and an oversized field are refused with RequestHeadersTooLarge")
{
    Listener listener;
    std::string manyFields = "GET / HTTP/1.1\r\nHost: x\r\n";
    for (int i = 0; i < 90; ++i) {
        manyFields += "X-F" + std::to_string(i) + ": 1\r\n";
    }
    CHECK(listener.sendAndReceive(manyFields + "\r\n").find("1006") != std::string::npos);
    const std::string longField = "GET / HTTP/1.1\r\nX-Long: " + std::string(20000, 'x') + "\r\n\r\n";
    CHECK(listener.sendAndReceive(longField).find("1006") != std::string::npos);
}

TEST_CASE("a head that is incomplete at the head timeout is refused with RequestTooSlow")
{
    HttpServerLimits limits;
    limits.headTimeout = Milliseconds(200);
    Listener listener(limits);
    CHECK(listener.sendAndReceive("GET / HTTP/1.1\r\nHost: x\r\n").find("1007") != std::string::npos);
}
