// One connection from a caller. Reads requests and sends their responses one after the other.
#pragma once

#include "memory/bodyadmission.h"
#include "memory/heldbytes.h"
#include "memory/stalledcallers.h"

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/itcpstreamlistener.h"
#include "framework/eventloop/tcpstream.h"
#include "framework/httpwire/bodydecoder.h"
#include "gateway/irequesthandler.h"
#include "gateway/iresponsewriter.h"

#include <memory>
#include <string>

namespace magnolia::gateway
{

class Listener;

class CallerConnection : public eventloop::ITcpStreamListener,
                         public IResponseWriter,
                         public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(eventloop::EventLoop &loop, IRequestHandler &handler, Listener &listener);

    void start(const Poco::Net::StreamSocket &socket);
    /** Closes the connection if it has no request. */
    void closeIfIdle();
    /** Answers the request that is being processed or read, since the process is about to end. */
    void answerAtEnd();
    /** Tells the request that is being processed that this instance can reach no upstream. */
    void notifyPartitioned();
    [[nodiscard]] bool isBusy() const;
    /** Returns the size of the body that waits for memory; 0 if none does. */
    [[nodiscard]] Bytes waitingBodySize() const;
    /** Reads the body that waits if there is memory for it, or refuses its request; returns false if it goes on
     * waiting. */
    bool tryReadBody();
    /** Returns the output that is queued, and the time since the caller has read any of it. */
    [[nodiscard]] memory::CallerOutput measureOutput();

    void onInput() override;
    void onOutputSent() override;
    void onEnd(eventloop::StreamEnd end) override;

    void sendResponse(httpwire::ResponseHead head, std::string_view body) override;
    void beginResponse(httpwire::ResponseHead head) override;
    void sendChunk(std::string_view bytes) override;
    void endResponse() override;
    void abortResponse() override;
    [[nodiscard]] std::size_t pendingBytes() const override;

private:
    enum class State {
        /** Waiting for a request or reading its head. */
        ReadingHead,
        /** The body stays with the caller until there is memory for it. */
        WaitingForMemory,
        ReadingBody,
        /** The handler is processing a request. */
        Handling,
        /** The output is shut down; remaining input is discarded. */
        Closing,
        Closed,
    };

    void processInput();
    void readHead();
    /** Reads the body now, later or not at all, as memory permits. */
    void beginBody(Bytes ahead);
    void allowBody();
    /** Answers the request without its body; `reason` goes into the log. */
    void refuseBody(std::string_view reason, Milliseconds retryAfter);
    [[nodiscard]] memory::BodyDecision decideOnBody(Bytes ahead) const;
    void countOutput();
    void readBody();
    void dispatch();
    void refuse(int status);
    void finishResponse();
    void setTimer(Milliseconds time);
    void onTimer();
    void beginClosing();
    void close();
    [[nodiscard]] bool addConnectionFields(httpwire::ResponseHead &head) const;

    eventloop::EventLoop &m_loop;
    IRequestHandler &m_handler;
    Listener &m_listener;
    std::shared_ptr<eventloop::TcpStream> m_stream;
    State m_state = State::ReadingHead;
    httpwire::RequestHead m_head;
    httpwire::BodyDecoder m_bodyDecoder;
    std::string m_body;
    std::shared_ptr<IActiveRequest> m_activeRequest;
    MonoTime m_requestStartedAt{};
    // Whether the first byte of a head has arrived: the header timeout applies then, not the idle timeout.
    bool m_hasHeadBegun = false;
    bool m_isLastRequest = false;
    // Size of the body at the start of the current timeout.
    std::size_t m_bodyBytesAtTimer = 0;
    eventloop::TimerId m_timer = 0;
    memory::HeldBytes m_heldOutput;
    memory::HeldBytes m_heldBody;
    // Size for which memory is set aside.
    Bytes m_bodySize;
    std::uint64_t m_lastSentTotal = 0;
    MonoTime m_outputProgressAt{};
};

} // namespace magnolia::gateway
