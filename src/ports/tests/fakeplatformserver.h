// An HTTP server that answers each GET request with a handler given by the test.
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <functional>
#include <string>

namespace magnolia::testing
{

class FakePlatformServer
{
public:
    using AnswerHandler = std::function<void(const std::string &uri, Poco::Net::HTTPServerResponse &response)>;

    explicit FakePlatformServer(AnswerHandler answerHandler)
        : m_answerHandler(std::move(answerHandler))
        , m_socket(Poco::Net::SocketAddress("127.0.0.1:0"))
        , m_server(new Factory(*this), m_socket, new Poco::Net::HTTPServerParams)
    {
        m_server.start();
    }
    ~FakePlatformServer()
    {
        m_server.stopAll(true);
    }

    [[nodiscard]] std::string address() const
    {
        return m_socket.address().toString();
    }
    [[nodiscard]] int callCount() const
    {
        return m_callCount;
    }

    static void sendText(Poco::Net::HTTPServerResponse &response, int status, const std::string &body)
    {
        response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
        response.sendBuffer(body.data(), body.size());
    }

private:
    class Handler : public Poco::Net::HTTPRequestHandler
    {
    public:
        explicit Handler(FakePlatformServer &owner)
            : m_owner(owner)
        {
        }
        void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
        {
            ++m_owner.m_callCount;
            m_owner.m_answerHandler(request.getURI(), response);
        }

    private:
        FakePlatformServer &m_owner;
    };
    class Factory : public Poco::Net::HTTPRequestHandlerFactory
    {
    public:
        explicit Factory(FakePlatformServer &owner)
            : m_owner(owner)
        {
        }
        Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
        {
            return new Handler(m_owner);
        }

    private:
        FakePlatformServer &m_owner;
    };

    AnswerHandler m_answerHandler;
    std::atomic<int> m_callCount{0};
    Poco::Net::ServerSocket m_socket;
    Poco::Net::HTTPServer m_server;
};

} // namespace magnolia::testing
