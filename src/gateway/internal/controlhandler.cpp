// Small answers from what the instance knows.
#include "gateway/internal/controlhandler.h"

#include "gateway/iresponsewriter.h"

namespace magnolia::gateway
{

ControlHandler::ControlHandler(std::function<ControlAnswer(std::string_view path)> reply)
    : m_reply(std::move(reply))
{
}

std::shared_ptr<ICall> ControlHandler::handle(
    httpwire::RequestHead head, std::string /*body*/, MonoTime /*receivedAt*/, ICallAnswer &answer)
{
    const ControlAnswer reply = m_reply(head.path());
    httpwire::ResponseHead answerHead;
    answerHead.status = reply.status;
    if (!reply.contentType.empty()) {
        answerHead.fields.add("Content-Type", reply.contentType);
    }
    answer.answer(std::move(answerHead), reply.body);
    return nullptr;
}

ReadLimits ControlHandler::limits() const
{
    return {};
}

bool ControlHandler::isClosing() const
{
    return false;
}

} // namespace magnolia::gateway
