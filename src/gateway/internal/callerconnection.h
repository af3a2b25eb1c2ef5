// One connection of a caller: reads a request, has it answered, and goes on to the next.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/itcpstreamuser.h"
#include "framework/eventloop/tcpstream.h"
#include "framework/httpwire/bodydecoder.h"
#include "gateway/irequesthandler.h"
#include "gateway/iresponsewriter.h"

#include <memory>
#include <string>

namespace magnolia::gateway
{

class Listener;

class CallerConnection : public eventloop::ITcpStreamUser,
                         public ICallAnswer,
                         public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(eventloop::EventLoop &loop, ICallHandler &handler, Listener &listener);

    void start(const Poco::Net::StreamSocket &socket);
    /** Ends the connection where no request is on it. */
    void closeIfIdle();
    [[nodiscard]] bool isBusy() const;

    void onInput() override;
    void onOutputSent() override;
    void onEnd(eventloop::StreamEnd end) override;

    void answer(httpwire::ResponseHead head, std::string_view body) override;
    void begin(httpwire::ResponseHead head) override;
    void piece(std::string_view bytes) override;
    void end() override;
    void breakOff() override;
    [[nodiscard]] std::size_t pendingBytes() const override;

private:
    enum class State {
        /** Between requests, or in the head of one. */
        Head,
        Body,
        /** A request is with the handler. */
        Answering,
        /** The last bytes are on their way. */
        Closing,
        Closed,
    };

    void readMore();
    void readHead();
    void readBody();
    void dispatch();
    void refuse(int status);
    void finishAnswer();
    void setTimer(Milliseconds time);
    void onTimer();
    void beginClosing();
    void close();
    [[nodiscard]] bool addConnectionFields(httpwire::ResponseHead &head) const;

    eventloop::EventLoop &m_loop;
    ICallHandler &m_handler;
    Listener &m_listener;
    std::shared_ptr<eventloop::TcpStream> m_stream;
    State m_state = State::Head;
    httpwire::RequestHead m_head;
    httpwire::BodyDecoder m_bodyDecoder;
    std::string m_body;
    std::shared_ptr<ICall> m_call;
    MonoTime m_begunAt{};
    // The first byte of a head has come, so that its timeout and not that of an idle connection counts.
    bool m_isHeadBegun = false;
    bool m_isLastRequest = false;
    eventloop::TimerId m_timer = 0;
};

} // namespace magnolia::gateway
