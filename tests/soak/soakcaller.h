// Callers that take addresses from the directory, reuse open connections, and record the responses.
#pragma once

#include "ledger.h"

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/itcpstreamlistener.h"
#include "framework/eventloop/tcpstream.h"
#include "framework/global/random.h"
#include "framework/httpwire/bodydecoder.h"
#include "framework/httpwire/types/messagehead.h"

#include <functional>
#include <memory>
#include <string>

namespace magnolia::soak
{

/** Sends one request at a time, on a new or a reused connection. */
class SoakCaller : public eventloop::ITcpStreamListener, public std::enable_shared_from_this<SoakCaller>
{
public:
    /** Objects of the run that all callers share. */
    struct Environment
    {
        eventloop::EventLoop &loop;
        Ledger &ledger;
        Random &random;
        /** Returns a random address from the last directory response; empty if there is none. */
        std::function<std::string()> chooseAddress;
        /** Returns the name of the process that listens on `address` now. */
        std::function<std::string(const std::string &address)> processAt;
        /** Part of prompts, and body of requests, that crash upstreams; empty if none does. */
        std::string crashingPart{};
        std::string crashingBody{};
    };

    SoakCaller(Environment &environment, int number);

    /** Sends requests until `stop`. */
    void start();
    void stop();
    [[nodiscard]] bool isBusy() const;

    void onConnected() override;
    void onInput() override;
    void onEnd(eventloop::StreamEnd end) override;

private:
    /** Schedules the next request after `minPause` and a random pause. */
    void scheduleNext(Milliseconds minPause = Milliseconds{0});
    void beginRequest();
    [[nodiscard]] std::string makeRequest(RequestRecord &record);
    void finish(bool isComplete, bool isAbandoned);
    void closeConnection();

    Environment &m_environment;
    int m_number;
    int m_requestCount = 0;
    bool m_isStopped = false;
    std::string m_address;
    std::shared_ptr<eventloop::TcpStream> m_stream;
    RequestRecord *m_record = nullptr;
    httpwire::ResponseHead m_head;
    httpwire::BodyDecoder m_bodyDecoder;
    bool m_isHeadRead = false;
    eventloop::TimerId m_deadlineTimer = 0;
    eventloop::TimerId m_abandonTimer = 0;
};

} // namespace magnolia::soak
