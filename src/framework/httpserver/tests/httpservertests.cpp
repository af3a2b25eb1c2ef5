// The listener before malformed, oversized and slow requests, over loopback sockets.
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

    /** Sends `text` and returns all bytes up to the close or `size` bytes. */
    [[nodiscard]] std::string talk(const std::string &text, std::size_t size = 4096)
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

TEST_CASE("a request is answered and the connection closed where the caller asks for it")
{
    Listener listener;
    const std::string answer = listener.talk("GET /abc HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("/abc"));
}

TEST_CASE("two requests on one connection are answered in turn")
{
    Listener listener;
    const std::string two = "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    const std::string answer = listener.talk(two);
    CHECK(answer.find("/a") != std::string::npos);
    CHECK(answer.ends_with("/b"));
}

TEST_CASE("a malformed head is refused with its code")
{
    Listener listener;
    CHECK(listener.talk("GET / NONSENSE/1.1\r\n\r\n").find("1001") != std::string::npos);
}

TEST_CASE("what is no HTTP is refused in HTTP")
{
    Listener listener;
    const std::string answer = listener.talk("drum head 4711?\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 "));
    CHECK(answer.find("1001") != std::string::npos);
}

TEST_CASE("a flood of header fields and an endless field are refused with their code")
{
    Listener listener;
    std::string many = "GET / HTTP/1.1\r\nHost: x\r\n";
    for (int i = 0; i < 90; ++i) {
        many += "X-F" + std::to_string(i) + ": 1\r\n";
    }
    CHECK(listener.talk(many + "\r\n").find("1006") != std::string::npos);
    const std::string longField = "GET / HTTP/1.1\r\nX-Long: " + std::string(20000, 'x') + "\r\n\r\n";
    CHECK(listener.talk(longField).find("1006") != std::string::npos);
}

TEST_CASE("a sender that never ends its head is refused when the time for it is over")
{
    HttpServerLimits limits;
    limits.headTimeout = Milliseconds(200);
    Listener listener(limits);
    CHECK(listener.talk("GET / HTTP/1.1\r\nHost: x\r\n").find("1007") != std::string::npos);
}
