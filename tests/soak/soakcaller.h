// Callers: they ask the directory, keep connections as long as they are open, and note what they get.
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

/** One request of a caller, on a connection of its own or on one that was kept. */
class SoakCaller : public eventloop::ITcpStreamListener, public std::enable_shared_from_this<SoakCaller>
{
public:
    /** What the run gives its callers. */
    struct World
    {
        eventloop::EventLoop &loop;
        Ledger &ledger;
        Random &random;
        /** An address of the last answer of the directory; empty where there is none. */
        std::function<std::string()> chooseAddress;
        /** Name of the process that listens there now. */
        std::function<std::string(const std::string &address)> processAt;
    };

    SoakCaller(World &world, int number);

    /** Asks again and again until `stop`. */
    void start();
    void stop();
    [[nodiscard]] bool isBusy() const;

    void onConnected() override;
    void onInput() override;
    void onEnd(eventloop::StreamEnd end) override;

private:
    /** Asks again after a pause, or after what the last answer said. */
    void next(Milliseconds atLeast = Milliseconds{0});
    void ask();
    [[nodiscard]] std::string makeRequest(Record &record);
    void finish(bool isComplete, bool isLeft);
    void drop();

    World &m_world;
    int m_number;
    int m_requests = 0;
    bool m_isStopped = false;
    std::string m_address;
    std::shared_ptr<eventloop::TcpStream> m_stream;
    Record *m_record = nullptr;
    httpwire::ResponseHead m_head;
    httpwire::BodyDecoder m_body;
    bool m_isHeadRead = false;
    eventloop::TimerId m_deadline = 0;
    eventloop::TimerId m_leaving = 0;
};

} // namespace magnolia::soak
