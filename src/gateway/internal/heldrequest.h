// A request that waits until this instance has a configuration, for a bounded time.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/global/types/bytes.h"
#include "gateway/irequesthandler.h"

#include <memory>
#include <string>
#include <string_view>

namespace magnolia::gateway
{

class CallerHandler;

class HeldRequest : public IActiveRequest, public std::enable_shared_from_this<HeldRequest>
{
public:
    HeldRequest(eventloop::EventLoop &loop, CallerHandler &handler, httpwire::RequestHead head, std::string body,
        MonoTime receivedAt, IResponseWriter &responseWriter);
    ~HeldRequest() override;

    /** Gives the request back to the handler after `time` unless it has been released by then. */
    void hold(Milliseconds time);
    /** Hands the request over to the handler. */
    void release();
    /** Whether the request has neither been handed over nor abandoned. */
    [[nodiscard]] bool isHeld() const;
    [[nodiscard]] Bytes size() const;
    [[nodiscard]] std::string_view requestId(const std::string &fieldName) const;
    /** Returns the head of a request that is not held after all. */
    [[nodiscard]] httpwire::RequestHead takeHead();

    void cancel() override;
    void onPartitioned() override;
    void onProcessEnding() override;
    void onDrained() override;
    [[nodiscard]] Milliseconds waitLimit() const override;

private:
    /** Ends holding and passes the request on; with a configuration it is processed, otherwise decided again. */
    void handOver();

    eventloop::EventLoop &m_loop;
    CallerHandler &m_handler;
    httpwire::RequestHead m_head;
    std::string m_body;
    MonoTime m_receivedAt;
    IResponseWriter &m_responseWriter;
    // The request that goes on after the hand-over.
    std::shared_ptr<IActiveRequest> m_next;
    eventloop::TimerId m_timer = 0;
    Bytes m_size;
    bool m_isHeld = false;
};

} // namespace magnolia::gateway
