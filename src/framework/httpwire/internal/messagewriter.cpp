// Serialises message heads and chunks.
#include "framework/httpwire/messagewriter.h"

#include <Poco/Net/HTTPResponse.h>

#include <array>
#include <charconv>

namespace magnolia::httpwire
{

namespace
{

void writeFields(std::string &out, const Fields &fields)
{
    for (const auto &[name, value] : fields.entries) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    out.append("\r\n");
}

} // namespace

std::string writeRequestHead(const RequestHead &head)
{
    std::string out;
    out.reserve(512);
    out.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    writeFields(out, head.fields);
    return out;
}

std::string writeResponseHead(const ResponseHead &head)
{
    std::string out;
    out.reserve(384);
    out.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ");
    out.append(head.reason.empty() ? reasonPhrase(head.status) : std::string_view(head.reason)).append("\r\n");
    writeFields(out, head.fields);
    return out;
}

std::string writeChunk(std::string_view bytes)
{
    std::array<char, 20> size{};
    const auto [end, ec] = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    std::string out;
    out.reserve(bytes.size() + 16);
    out.append(size.data(), static_cast<std::size_t>(end - size.data())).append("\r\n");
    out.append(bytes).append("\r\n");
    return out;
}

std::string_view reasonPhrase(int status)
{
    static thread_local std::string phrase;
    phrase = Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    return phrase;
}

bool isHopByHop(std::string_view name, std::string_view connectionOptions)
{
    constexpr std::array<std::string_view, 9> hopByHop{"connection", "keep-alive", "proxy-connection", "te", "trailer",
        "transfer-encoding", "upgrade", "content-length", "proxy-authorization"};
    for (const std::string_view it : hopByHop) {
        if (isSameFieldName(name, it)) {
            return true;
        }
    }
    return !connectionOptions.empty() && listContains(connectionOptions, name);
}

} // namespace magnolia::httpwire
