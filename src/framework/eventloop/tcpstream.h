// A non-blocking TCP connection with buffered input and output, over a socket of Poco::Net.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/ireadinesshandler.h"
#include "framework/eventloop/itcpstreamlistener.h"

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>
#include <string_view>

namespace magnolia::eventloop
{

/** Times after which a connection whose peer has gone silent is given up. */
struct TcpTimeouts
{
    /** Silence before the first keep-alive probe; 0 sends none. */
    Milliseconds keepAliveIdle{0};
    Milliseconds keepAliveInterval{1000};
    int keepAliveProbes = 2;
    /** How long sent bytes may stay unacknowledged; 0 leaves it to the system. */
    Milliseconds unacknowledgedTimeout{0};
};

class TcpStream : public IReadinessHandler, public std::enable_shared_from_this<TcpStream>
{
public:
    /** Begins to connect to `address` (IP:PORT); `user` hears of the outcome and must outlive the stream's closing. */
    [[nodiscard]] static std::shared_ptr<TcpStream> connect(
        EventLoop &loop, const std::string &address, ITcpStreamListener &user, const TcpTimeouts &limits);
    /** Takes over an accepted socket. */
    [[nodiscard]] static std::shared_ptr<TcpStream> adopt(
        EventLoop &loop, const Poco::Net::StreamSocket &socket, ITcpStreamListener &user, const TcpTimeouts &limits);

    TcpStream(EventLoop &loop, const Poco::Net::StreamSocket &socket);
    ~TcpStream() override;
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    void setListener(ITcpStreamListener &user);
    /** Queues bytes; what the system takes at once is sent at once. */
    void write(std::string_view bytes);
    /** Ends the output after what is queued; input goes on. */
    void shutdownOutput();
    /** Closes at once. The user hears nothing more. */
    void close();
    /** Closes so that the peer sees a reset. */
    void reset();
    /** Stops or resumes reading, which passes the pressure on to the peer. */
    void setReading(bool isReading);

    /** Received bytes that the user has not consumed. */
    [[nodiscard]] std::string &input();
    [[nodiscard]] std::size_t pendingOutput() const;
    [[nodiscard]] bool isConnected() const;
    [[nodiscard]] bool isOpen() const;
    /** Whether the peer has sent bytes or closed; for an idle connection that is about to be used. */
    [[nodiscard]] bool hasInputOrEnd();

    void onReady(bool isReadable, bool isWritable, bool isBroken) override;

private:
    void setLimits(const TcpTimeouts &limits);
    void readAll();
    void flush();
    void end(StreamEnd end);
    void updateInterest();

    EventLoop &m_loop;
    Poco::Net::StreamSocket m_socket;
    ITcpStreamListener *m_user = nullptr;
    std::string m_input;
    // Invariant: m_sent <= m_output.size().
    std::string m_output;
    std::size_t m_sent = 0;
    int m_fd = -1;
    bool m_isConnected = false;
    bool m_isReading = true;
    bool m_isEnded = false;
    bool m_isOutputEnding = false;
};

} // namespace magnolia::eventloop
