// magnolia-relay-baseline: a minimal HTTP relay, the baseline for the cost of an entry. It consists of POCO's HTTP
// server and a client session to the upstream in the same thread, and flushes after each event. It makes no
// decisions and has no deadlines, logs or metrics.
#include <cxxopts.hpp>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

namespace
{

constexpr int maxThreads = 4096;
constexpr int threadStackBytes = 128 * 1024;
constexpr int backlog = 2048;
constexpr int ioTimeoutSeconds = 120;

void relayEvents(std::istream &in, std::ostream &out)
{
    std::string line;
    while (out.good() && std::getline(in, line)) {
        out << line << '\n';
        if (line.empty()) {
            out.flush();
        }
    }
}

class RelayHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit RelayHandler(const Poco::Net::SocketAddress &upstream)
        : m_upstream(upstream)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().setNoDelay(true);
        Poco::Net::HTTPClientSession session(m_upstream);
        session.setTimeout(Poco::Timespan(ioTimeoutSeconds, 0));
        Poco::Net::HTTPRequest upstreamRequest(request.getMethod(), request.getURI(), Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto &[name, value] : request) {
            upstreamRequest.set(name, value);
        }
        std::ostream &upstreamBody = session.sendRequest(upstreamRequest);
        session.socket().setNoDelay(true);
        Poco::StreamCopier::copyStream(request.stream(), upstreamBody);
        Poco::Net::HTTPResponse upstreamResponse;
        std::istream &in = session.receiveResponse(upstreamResponse);
        for (const auto &[name, value] : upstreamResponse) {
            response.set(name, value);
        }
        response.setStatusAndReason(upstreamResponse.getStatus());
        relayEvents(in, response.send());
    }

private:
    Poco::Net::SocketAddress m_upstream;
};

class RelayHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit RelayHandlerFactory(const Poco::Net::SocketAddress &upstream)
        : m_upstream(upstream)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new RelayHandler(m_upstream);
    }

private:
    Poco::Net::SocketAddress m_upstream;
};

int run(const Poco::Net::SocketAddress &listen, const Poco::Net::SocketAddress &upstream)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(maxThreads);
    params->setMaxQueued(maxThreads);
    params->setTimeout(Poco::Timespan(ioTimeoutSeconds, 0));
    Poco::ThreadPool threads(16, maxThreads, 60, threadStackBytes);
    const Poco::Net::ServerSocket socket(listen, backlog);
    Poco::Net::HTTPServer server(new RelayHandlerFactory(upstream), threads, socket, params);
    server.start();
    std::cout << "listening on " << socket.address().toString() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    std::_Exit(0);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options(
            "magnolia-relay-baseline", "Relays HTTP requests to one upstream without any decisions.");
        auto add = options.add_options();
        add("listen", "Address to listen on, ip:port; port 0 selects a free port", cxxopts::value<std::string>());
        add("upstream", "Address ip:port of the upstream", cxxopts::value<std::string>());
        const cxxopts::ParseResult args = options.parse(argc, argv);
        return run(Poco::Net::SocketAddress(args["listen"].as<std::string>()),
            Poco::Net::SocketAddress(args["upstream"].as<std::string>()));
    } catch (const std::exception &e) {
        std::cerr << "magnolia-relay-baseline: " << e.what() << "\n";
        return 2;
    }
}
