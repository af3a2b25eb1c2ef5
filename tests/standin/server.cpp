// Accepts connections, handles requests to /control and passes all other requests to the role.
#include "standin/server.h"

#include "standin/exchange.h"

#include <nlohmann/json.hpp>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include <exception>

namespace magnolia::standin
{

namespace
{

constexpr int minThreads = 16;
constexpr int maxThreads = 4096;
constexpr int threadIdleSeconds = 60;
constexpr int threadStackBytes = 128 * 1024;
constexpr int listenBacklog = 2048;
constexpr int ioTimeoutSeconds = 300;

void handleControl(Exchange &exchange, IRole &role)
{
    Context &context = exchange.context();
    if (exchange.path() == "/control/journal") {
        exchange.sendJson(200, context.journal.toJson());
        return;
    }
    const nlohmann::json content = exchange.readJson();
    if (exchange.path() == "/control/publish") {
        exchange.sendJson(role.publish(content) ? 200 : 404, nlohmann::json::object());
        return;
    }
    applyControl(context.faults, content);
    if (content.contains("silence_open_connections")) {
        context.connections.setSilent(content["silence_open_connections"].get<bool>());
    }
    exchange.sendJson(200, nlohmann::json::object());
}

void handleRole(Exchange &exchange, IRole &role)
{
    if (exchange.context().faults.refusesConnections) {
        exchange.abortConnection();
        return;
    }
    exchange.applyConnectionFaults();
    if (exchange.context().faults.isDown) {
        exchange.sendJson(503, {{"error", "down"}});
        return;
    }
    role.handle(exchange);
}

class Handler : public Poco::Net::HTTPRequestHandler
{
public:
    Handler(Context &context, IRole &role)
        : m_context(context)
        , m_role(role)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        Exchange exchange(m_context, request, response);
        try {
            if (exchange.path().starts_with("/control")) {
                handleControl(exchange, m_role);
            } else {
                handleRole(exchange, m_role);
            }
        } catch (const std::exception &e) {
            if (!response.sent()) {
                exchange.sendJson(400, {{"error", e.what()}});
            }
        }
    }

private:
    Context &m_context;
    IRole &m_role;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    HandlerFactory(Context &context, IRole &role)
        : m_context(context)
        , m_role(role)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new Handler(m_context, m_role);
    }

private:
    Context &m_context;
    IRole &m_role;
};

class Connection : public Poco::Net::HTTPServerConnection
{
public:
    Connection(const Poco::Net::StreamSocket &socket, const Poco::Net::HTTPServerParams::Ptr &params,
        const Poco::Net::HTTPRequestHandlerFactory::Ptr &handlers, Context &context)
        : HTTPServerConnection(socket, params, handlers)
        , m_context(context)
        , m_clientAddress(socket.peerAddress().toString())
    {
        this->socket().setNoDelay(true);
        m_context.connections.add(m_clientAddress);
    }
    ~Connection() override
    {
        m_context.connections.remove(m_clientAddress);
    }

private:
    Context &m_context;
    std::string m_clientAddress;
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    ConnectionFactory(Context &context, IRole &role)
        : m_context(context)
        , m_params(new Poco::Net::HTTPServerParams)
        , m_handlers(new HandlerFactory(context, role))
    {
        m_params->setTimeout(Poco::Timespan(ioTimeoutSeconds, 0));
        m_params->setKeepAliveTimeout(Poco::Timespan(ioTimeoutSeconds, 0));
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new Connection(socket, m_params, m_handlers, m_context);
    }

private:
    Context &m_context;
    Poco::Net::HTTPServerParams::Ptr m_params;
    Poco::Net::HTTPRequestHandlerFactory::Ptr m_handlers;
};

Poco::Net::TCPServerParams::Ptr serverParams()
{
    Poco::Net::TCPServerParams::Ptr params(new Poco::Net::TCPServerParams);
    params->setMaxThreads(maxThreads);
    params->setMaxQueued(maxThreads);
    return params;
}

} // namespace

Server::Server(const Poco::Net::SocketAddress &address, Context &context, IRole &role)
    : m_threadPool(minThreads, maxThreads, threadIdleSeconds, threadStackBytes)
    , m_socket(address, listenBacklog)
    , m_server(new ConnectionFactory(context, role), m_threadPool, m_socket, serverParams())
{
    m_server.start();
}

Server::~Server()
{
    m_server.stop();
}

Poco::Net::SocketAddress Server::address() const
{
    return m_socket.address();
}

} // namespace magnolia::standin
