// HTTP client for small requests, sent one at a time on a persistent connection.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/itcpstreamlistener.h"
#include "framework/eventloop/tcpstream.h"
#include "framework/global/error.h"
#include "framework/httpwire/bodydecoder.h"
#include "framework/httpwire/types/messagehead.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace magnolia::httpclient
{

struct HttpReply
{
    int status = 0;
    std::string body;
    httpwire::ResponseHead head;
};

class HttpClient : public eventloop::ITcpStreamListener, public std::enable_shared_from_this<HttpClient>
{
public:
    using ReplyCallback = std::function<void(Result<HttpReply>)>;

    /** `address` is IP:PORT; a reply larger than `maxReplySize` bytes is rejected. */
    HttpClient(eventloop::EventLoop &loop, std::string address, const eventloop::TcpTimeouts &timeouts,
        std::size_t maxReplySize);
    ~HttpClient() override;

    /**
     * Sends one request; only one may be open at a time. `callback` is called once, outside this call. Errors:
     * PlatformUnavailable (9001) if no complete reply arrives within `timeout`.
     */
    void send(const std::string &method, const std::string &target, const std::string &body, Milliseconds timeout,
        ReplyCallback callback);

    /**
     * Makes the timeout of the open request run from the last byte received instead of from its start, for at most
     * `maxTime` in all.
     */
    void extendTimeoutOnInput(Milliseconds maxTime);
    /** Returns the time at which the last byte of the open request's reply arrived, if one has. */
    [[nodiscard]] std::optional<MonoTime> lastInputAt() const;

    void onInput() override;
    void onEnd(eventloop::StreamEnd end) override;

private:
    void finish(Result<HttpReply> reply);
    void startTimeout();
    [[nodiscard]] bool readHead();

    eventloop::EventLoop &m_loop;
    std::string m_address;
    eventloop::TcpTimeouts m_timeouts;
    std::size_t m_maxReplySize;
    ReplyCallback m_replyCallback;
    std::shared_ptr<eventloop::TcpStream> m_stream;
    eventloop::TimerId m_timeoutTimer = 0;
    Milliseconds m_timeout{0};
    // Latest time at which the timeout may be restarted; not set if it runs from the start of the request.
    std::optional<MonoTime> m_extensionEndsAt;
    std::optional<MonoTime> m_lastInputAt;
    std::string m_method;
    httpwire::ResponseHead m_head;
    httpwire::BodyDecoder m_decoder;
    std::string m_body;
    bool m_isHeadRead = false;
};

} // namespace magnolia::httpclient
