// The calls that are not requests of callers: readiness, which addresses to use, and metrics.
#pragma once

#include "gateway/irequesthandler.h"

#include <functional>
#include <string>

namespace magnolia::gateway
{

struct ControlAnswer
{
    int status = 200;
    std::string contentType;
    std::string body;
};

class ControlHandler : public ICallHandler
{
public:
    /** `reply` is called with the path, without its query. */
    explicit ControlHandler(std::function<ControlAnswer(std::string_view path)> reply);

    [[nodiscard]] std::shared_ptr<ICall> handle(
        httpwire::RequestHead head, std::string body, MonoTime receivedAt, ICallAnswer &answer) override;
    [[nodiscard]] ReadLimits limits() const override;
    [[nodiscard]] bool isClosing() const override;

private:
    std::function<ControlAnswer(std::string_view path)> m_reply;
};

} // namespace magnolia::gateway
