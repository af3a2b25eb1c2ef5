// An answer received over one Poco client session.
#pragma once

#include "upstreams/internal/singlecallsession.h"
#include "upstreams/iupstreamanswer.h"

#include <Poco/Net/HTTPResponse.h>

#include <array>
#include <istream>
#include <memory>

namespace magnolia::upstreams
{

class HttpUpstreamAnswer : public IUpstreamAnswer
{
public:
    explicit HttpUpstreamAnswer(std::unique_ptr<SingleCallSession> session);

    [[nodiscard]] int status() const override;
    [[nodiscard]] std::string header(const std::string &name) const override;
    [[nodiscard]] ReceiveState awaitHead(Milliseconds wait) override;
    [[nodiscard]] ReceiveResult receive(Milliseconds wait) override;

private:
    [[nodiscard]] bool isReadable(Milliseconds wait, int bufferedWhenIdle);
    [[nodiscard]] ReceiveResult readAvailable();
    [[nodiscard]] ReceiveState endState() const;

    static constexpr std::size_t bufferBytes = 8192;

    std::unique_ptr<SingleCallSession> m_session;
    Poco::Net::HTTPResponse m_response;
    // Null until the head has arrived; owned by the session.
    std::istream *m_body = nullptr;
    std::streamsize m_receivedBytes = 0;
    std::array<char, bufferBytes> m_buffer;
};

} // namespace magnolia::upstreams
