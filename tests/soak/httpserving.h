// A small HTTP server for the store and the upstreams that the soak test simulates.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/ireadinesshandler.h"
#include "framework/eventloop/tcpstream.h"
#include "framework/httpwire/bodydecoder.h"
#include "framework/httpwire/types/messagehead.h"

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::soak
{

class HttpListener;

struct Request
{
    httpwire::RequestHead head;
    std::string body;
};

/** One accepted connection. Delivers the next request only after the response to the previous one is finished. */
class ServedConnection : public eventloop::ITcpStreamListener, public std::enable_shared_from_this<ServedConnection>
{
public:
    explicit ServedConnection(std::weak_ptr<HttpListener> listener);

    void send(std::string_view bytes);
    /** Sends a complete response with Content-Length and continues with the next request. */
    void sendResponse(
        int status, const std::vector<std::pair<std::string, std::string>> &fields, std::string_view body);
    /** Call after the last part of a response written by `send`; continues with the next request. */
    void finishResponse();
    void reset();
    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] std::string peerIp() const;

    void onInput() override;
    void onEnd(eventloop::StreamEnd end) override;

private:
    friend class HttpListener;

    std::weak_ptr<HttpListener> m_listener;
    std::shared_ptr<eventloop::TcpStream> m_stream;
    Request m_request;
    httpwire::BodyDecoder m_bodyDecoder;
    bool m_isHeadRead = false;
    bool m_isResponsePending = false;
};

class HttpListener : public eventloop::IReadinessHandler, public std::enable_shared_from_this<HttpListener>
{
public:
    using Handler = std::function<void(const std::shared_ptr<ServedConnection> &, const Request &)>;

    HttpListener(eventloop::EventLoop &loop, Handler handler);

    /** Listens on `address` (IP:PORT); port 0 selects a free port. */
    void listen(const std::string &address);
    /** Closes the port and resets all connections, as a crashed process would. */
    void closeAndReset();
    void resetAll();
    [[nodiscard]] std::string address() const;
    [[nodiscard]] bool isListening() const;

    void onReady(bool isReadable, bool isWritable, bool isBroken) override;

private:
    friend class ServedConnection;

    eventloop::EventLoop &m_loop;
    Handler m_handler;
    std::unique_ptr<Poco::Net::ServerSocket> m_socket;
    std::string m_address;
    std::vector<std::shared_ptr<ServedConnection>> m_connections;
};

} // namespace magnolia::soak
