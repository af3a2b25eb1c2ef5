// Calls an upstream that answers with a JSON object.
#include "entry/internal/run/jsoncall.h"

#include "upstreams/iupstreamclient.h"

namespace magnolia::entry
{

std::optional<JsonAnswer> callJson(upstreams::IUpstreamClient &client, const std::string &address,
    const std::string &method, const std::string &path, const std::string &body, Milliseconds timeout,
    std::size_t maxBytes)
{
    upstreams::UpstreamCall call;
    call.address = address;
    call.method = method;
    call.path = path;
    call.connectTimeout = timeout;
    call.silenceTimeout = timeout;
    if (!body.empty()) {
        call.body = std::make_shared<const std::string>(body);
    }
    const auto answer = client.send(call, []() -> Result<void> {
        return {};
    });
    if (!answer || (*answer)->awaitHead(timeout) != upstreams::ReceiveState::Data) {
        return std::nullopt;
    }
    std::string text;
    while (text.size() <= maxBytes) {
        const upstreams::ReceiveResult received = (*answer)->receive(timeout);
        if (received.state == upstreams::ReceiveState::End) {
            nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
            return JsonAnswer{(*answer)->status(), json.is_object() ? std::move(json) : nlohmann::json()};
        }
        if (received.state != upstreams::ReceiveState::Data) {
            return std::nullopt;
        }
        text += received.bytes;
    }
    return std::nullopt;
}

} // namespace magnolia::entry
