// HTTP calls with the POCO client, each on its own connection.
#include "httpcall.h"

#include "waiting.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <iterator>

namespace magnolia::sessions
{

namespace
{

const Poco::Timespan ioTimeout(hangGuard.count(), 0);

} // namespace

StreamingCall::StreamingCall(const std::string &address, const HttpRequest &request)
    : m_session(std::make_unique<Poco::Net::HTTPClientSession>(Poco::Net::SocketAddress(address)))
{
    m_session->setTimeout(ioTimeout);
    Poco::Net::HTTPRequest head(request.method, request.path, "HTTP/1.1");
    for (const auto &[name, value] : request.headers) {
        head.add(name, value);
    }
    if (request.method != "GET") {
        head.setContentLength(static_cast<std::streamsize>(request.body.size()));
    }
    m_session->sendRequest(head) << request.body << std::flush;
}

HttpResponse StreamingCall::readHead()
{
    HttpResponse response;
    try {
        Poco::Net::HTTPResponse head;
        m_in = &m_session->receiveResponse(head);
        response.status = head.getStatus();
        for (const auto &[name, value] : head) {
            response.headers[name] = value;
        }
    } catch (const Poco::Exception &) {
        response.status = 0;
    }
    return response;
}

std::string StreamingCall::readEvent()
{
    std::string event;
    std::string line;
    while (std::getline(*m_in, line) && !line.empty()) {
        event += line + "\n";
    }
    return event;
}

std::string StreamingCall::readRest()
{
    if (m_in == nullptr) {
        return "";
    }
    return {std::istreambuf_iterator<char>(*m_in), std::istreambuf_iterator<char>()};
}

void StreamingCall::disconnect()
{
    m_session->socket().shutdown();
    m_session->reset();
}

HttpResponse call(const std::string &address, const HttpRequest &request)
{
    try {
        StreamingCall streaming(address, request);
        HttpResponse response = streaming.readHead();
        response.body = streaming.readRest();
        return response;
    } catch (const Poco::Exception &) {
        return {};
    }
}

std::string callRaw(const std::string &address, const std::string &bytes)
{
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
    socket.setReceiveTimeout(ioTimeout);
    std::string response;
    try {
        for (std::size_t sent = 0; sent < bytes.size();) {
            sent += static_cast<std::size_t>(
                socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        }
        std::array<char, 4096> buf{};
        for (int n = 0; (n = socket.receiveBytes(buf.data(), buf.size())) > 0;) {
            response.append(buf.data(), static_cast<std::size_t>(n));
        }
    } catch (const Poco::Exception &) {
        // The server may reset the connection after its response; the bytes received so far are returned.
    }
    return response;
}

nlohmann::json fetchJson(const std::string &address, const std::string &path)
{
    const HttpResponse response = call(address, {"GET", path, {}, ""});
    return nlohmann::json::parse(response.body, nullptr, false);
}

HttpResponse postJson(const std::string &address, const std::string &path, const nlohmann::json &body)
{
    return call(address, {"POST", path, {{"Content-Type", "application/json"}}, body.dump()});
}

} // namespace magnolia::sessions
