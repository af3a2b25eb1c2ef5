// A connection that is opened and closed.
#include "gateway/internal/reachabilityprobe.h"

namespace magnolia::gateway
{

namespace
{

/** Many round trips of any data centre; less than what a stream's caller bears of silence. */
constexpr Milliseconds testTime{250};

} // namespace

void ReachabilityTest::run(eventloop::EventLoop &loop, const std::string &address, std::function<void(bool)> done)
{
    const auto test = std::make_shared<ReachabilityTest>(loop, std::move(done));
    test->m_self = test;
    test->m_stream = eventloop::TcpStream::connect(loop, address, *test, {});
    test->m_timer = loop.after(testTime, [weak = std::weak_ptr<ReachabilityTest>(test)] {
        if (const auto self = weak.lock()) {
            self->finish(false);
        }
    });
}

ReachabilityTest::ReachabilityTest(eventloop::EventLoop &loop, std::function<void(bool)> done)
    : m_loop(loop)
    , m_done(std::move(done))
{
}

void ReachabilityTest::onConnected()
{
    finish(true);
}

void ReachabilityTest::onInput()
{
    finish(true);
}

void ReachabilityTest::onEnd(eventloop::StreamEnd /*end*/)
{
    finish(false);
}

void ReachabilityTest::finish(bool isReached)
{
    const auto self = std::move(m_self);
    if (!self) {
        return;
    }
    m_loop.cancel(m_timer);
    m_stream->close();
    m_done(isReached);
}

} // namespace magnolia::gateway
