// A non-blocking TCP connection with buffered input and output, over a socket of Poco::Net.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/ireadinesshandler.h"
#include "framework/eventloop/itcpstreamlistener.h"

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace magnolia::eventloop
{

/** Timeouts that detect a peer that no longer responds. */
struct TcpTimeouts
{
    /** Idle time before the first keep-alive probe; 0 sends no probes. */
    Milliseconds keepAliveIdle{0};
    Milliseconds keepAliveInterval{1000};
    int keepAliveProbes = 2;
    /** Maximum time that sent bytes may stay unacknowledged; 0 uses the default of the operating system. */
    Milliseconds unacknowledgedTimeout{0};
};

class TcpStream : public IReadinessHandler, public std::enable_shared_from_this<TcpStream>
{
public:
    /** Starts to connect to `address` (IP:PORT); reports the result to `listener`, which must outlive the stream. The
     * connection leaves from `sourceIp` or, if that is empty, from the source address of the loop. */
    [[nodiscard]] static std::shared_ptr<TcpStream> connect(EventLoop &loop, const std::string &address,
        ITcpStreamListener &listener, const TcpTimeouts &timeouts, const std::string &sourceIp = {});
    /** Takes over an accepted socket. */
    [[nodiscard]] static std::shared_ptr<TcpStream> adopt(EventLoop &loop, const Poco::Net::StreamSocket &socket,
        ITcpStreamListener &listener, const TcpTimeouts &timeouts);

    TcpStream(EventLoop &loop, const Poco::Net::StreamSocket &socket);
    ~TcpStream() override;
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    void setListener(ITcpStreamListener &listener);
    /** Queues bytes and sends those that the operating system accepts at once. */
    void write(std::string_view bytes);
    /** Ends the output after the queued bytes; input continues. */
    void shutdownOutput();
    /** Closes the connection at once. The listener is not called again. */
    void close();
    /** Closes the connection with a TCP reset. */
    void reset();
    /** Stops or resumes reading; while reading is stopped, TCP flow control slows the peer down. */
    void setReading(bool isReading);

    static constexpr std::size_t defaultMaxInput = 256 * 1024;
    /** Sets the size from which on input stays in the socket until the listener has consumed some. */
    void setMaxInput(std::size_t bytes);
    /** Limits the bytes that the operating system buffers for the other end; it may use twice as much. */
    void setSendBuffer(std::size_t bytes);

    /** Returns the received bytes that the listener has not consumed. */
    [[nodiscard]] std::string &input();
    [[nodiscard]] std::size_t pendingOutput() const;
    /**
     * Returns the bytes that the other end has not acknowledged: pending output, and what the operating system holds.
     * An end of the other side acknowledges all that its system had received before.
     */
    [[nodiscard]] std::size_t unacknowledgedOutput() const;
    /** Returns the error of the first send or peek that failed (`errno`); 0 if none has. */
    [[nodiscard]] int error() const;
    /** Returns the number of bytes that the operating system has accepted in all. */
    [[nodiscard]] std::uint64_t sentTotal() const;
    [[nodiscard]] bool isConnected() const;
    /** Whether the peer's host refused the connection because nothing listens at the address. */
    [[nodiscard]] bool isRefused() const;
    [[nodiscard]] bool isOpen() const;
    /** Returns the IP address of the other end; empty if the connection has ended. */
    [[nodiscard]] std::string peerIp() const;
    /** Whether the peer has sent bytes or closed the connection; for an idle connection before its reuse. */
    [[nodiscard]] bool hasInputOrEnd();

    void onReady(bool isReadable, bool isWritable, bool isBroken) override;

private:
    /** Makes the connection leave from `sourceIp`; call it before connecting. Throws exceptions of Poco. */
    void bindTo(const std::string &sourceIp);
    void setTimeouts(const TcpTimeouts &timeouts);
    void readAll();
    void flush();
    void end(StreamEnd end);
    void updateInterest();

    EventLoop &m_loop;
    Poco::Net::StreamSocket m_socket;
    ITcpStreamListener *m_listener = nullptr;
    std::string m_input;
    // Invariant: m_sentBytes <= m_output.size().
    std::string m_output;
    std::size_t m_sentBytes = 0;
    std::uint64_t m_sentTotal = 0;
    std::size_t m_maxInput = defaultMaxInput;
    int m_fd = -1;
    int m_error = 0;
    bool m_isConnected = false;
    bool m_isRefused = false;
    bool m_isReading = true;
    bool m_isEnded = false;
    bool m_isOutputEnding = false;
};

} // namespace magnolia::eventloop
