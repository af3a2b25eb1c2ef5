// Sends a prompt and measures the times of its events.
#include "caller.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <istream>
#include <ostream>

namespace magnolia::load
{

namespace
{

constexpr std::uint64_t bytesPerToken = 4;
constexpr std::size_t fillerBlockBytes = 64 * 1024;
constexpr int ioTimeoutSeconds = 120;

double millisecondsSince(MonoTime start)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

/** A JSON body whose prompt has the requested length. It is written in blocks and never held in memory as a whole. */
class PromptBody
{
public:
    explicit PromptBody(const CallOptions &options)
        : m_head(R"({"model":")" + options.model + R"(","stream":true,"max_tokens":)"
            + std::to_string(options.maxTokens) + R"(,"prompt":")" + std::to_string(options.promptNumber) + " ")
        , m_fillerBytes(options.promptTokens * bytesPerToken)
    {
    }

    [[nodiscard]] std::uint64_t size() const
    {
        return m_head.size() + m_fillerBytes + m_tail.size();
    }
    void write(std::ostream &out) const
    {
        static const std::string filler(fillerBlockBytes, 'a');
        out << m_head;
        for (std::uint64_t remaining = m_fillerBytes; remaining > 0 && out.good();) {
            const std::uint64_t blockBytes = std::min<std::uint64_t>(remaining, filler.size());
            out.write(filler.data(), static_cast<std::streamsize>(blockBytes));
            remaining -= blockBytes;
        }
        out << m_tail << std::flush;
    }

private:
    std::string m_head;
    std::uint64_t m_fillerBytes;
    std::string m_tail = "\"}";
};

Poco::Net::HTTPRequest makeRequest(const CallOptions &options, const PromptBody &body)
{
    Poco::Net::HTTPRequest request("POST", "/v1/completions", "HTTP/1.1");
    request.set("X-Request-Id", options.requestId);
    request.set("X-Class", options.requestClass);
    request.set("X-Organisation", options.organisation);
    request.set("X-Model", options.model);
    request.set("X-Prompt-Tokens", std::to_string(options.promptTokens));
    request.set("X-Max-Tokens", std::to_string(options.maxTokens));
    request.set("Accept", "text/event-stream");
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    return request;
}

/** Reads the events; sets the outcome to "whole" if each token came exactly once, in order and for this request. */
void readEvents(std::istream &in, const CallOptions &options, const std::string &responseId, CallResult &result)
{
    // An entry appends a suffix to the request id; all events of a response have the same one.
    const std::string expectedId = "\"request_id\":\"" + responseId + "\"";
    bool isInOrder = responseId.starts_with(options.requestId);
    bool isDone = false;
    double lastTokenMs = 0;
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with("id: ")) {
            isInOrder = isInOrder && line.substr(4) == std::to_string(result.tokens);
        } else if (line == "data: [DONE]") {
            isDone = true;
        } else if (line.starts_with("data: ") && line.find("\"error\"") == std::string::npos) {
            isInOrder = isInOrder && line.find(expectedId) != std::string::npos;
            const double nowMs = millisecondsSince(options.intendedStart);
            if (result.tokens == 0) {
                result.firstTokenMs = nowMs;
            } else {
                result.gapsMs.push_back(static_cast<float>(nowMs - lastTokenMs));
            }
            lastTokenMs = nowMs;
            ++result.tokens;
        }
    }
    result.finishMs = millisecondsSince(options.intendedStart);
    result.outcome = isDone && isInOrder && result.tokens == options.maxTokens ? "whole" : "broken";
}

} // namespace

CallResult runCall(const CallOptions &options)
{
    CallResult result;
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(options.address)};
        session.setTimeout(Poco::Timespan(ioTimeoutSeconds, 0));
        const PromptBody body(options);
        Poco::Net::HTTPRequest request = makeRequest(options, body);
        std::ostream &out = session.sendRequest(request);
        session.socket().setNoDelay(true);
        body.write(out);
        Poco::Net::HTTPResponse response;
        std::istream &in = session.receiveResponse(response);
        result.status = response.getStatus();
        if (result.status == Poco::Net::HTTPResponse::HTTP_OK) {
            readEvents(in, options, response.get("X-Request-Id", ""), result);
        } else {
            result.outcome = response.has("Retry-After") ? "refused" : "failed";
        }
    } catch (const Poco::Exception &) {
        result.outcome = "failed";
    }
    return result;
}

} // namespace magnolia::load
