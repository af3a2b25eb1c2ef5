// Parser of message heads.
#include "framework/httpwire/messagereader.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace magnolia::httpwire
{

namespace
{

bool isTokenChar(char c)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
        || symbols.find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

bool isFieldValueChar(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7F);
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/** Parses `name: value` lines; returns false if a line is malformed or continues the line before it. */
bool readFields(std::string_view text, Fields &fields)
{
    while (!text.empty()) {
        const std::size_t end = text.find("\r\n");
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 2);
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
            return false;
        }
        const std::string_view value = trimmed(line.substr(colon + 1));
        if (!std::all_of(value.begin(), value.end(), isFieldValueChar)) {
            return false;
        }
        fields.add(line.substr(0, colon), value);
    }
    return true;
}

/** Finds the end of the head; on Complete `length` is its size without the closing empty line. */
ReadState findHead(std::string &input, std::size_t limit, std::size_t &length)
{
    // Skips empty lines before a message (RFC 9112, section 2.2).
    while (input.size() >= 2 && input[0] == '\r' && input[1] == '\n') {
        input.erase(0, 2);
    }
    length = input.find("\r\n\r\n");
    if (length == std::string::npos) {
        return input.size() > limit ? ReadState::TooLarge : ReadState::Incomplete;
    }
    return length > limit ? ReadState::TooLarge : ReadState::Complete;
}

bool readVersion(std::string_view text, bool &isHttp10)
{
    isHttp10 = text == "HTTP/1.0";
    return isHttp10 || text == "HTTP/1.1";
}

/** Reads the length that all Content-Length fields agree on; returns false if they are malformed or differ. */
bool readLength(const Fields &fields, std::optional<std::uint64_t> &length)
{
    for (const auto &[name, value] : fields.entries) {
        if (!isSameFieldName(name, "Content-Length")) {
            continue;
        }
        std::uint64_t n = 0;
        const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), n);
        if (value.empty() || ec != std::errc() || end != value.data() + value.size() || (length && *length != n)) {
            return false;
        }
        length = n;
    }
    return true;
}

std::size_t countFields(const Fields &fields, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(fields.entries.begin(), fields.entries.end(), [&](const auto &it) {
        return isSameFieldName(it.first, name);
    }));
}

} // namespace

ReadState readRequestHead(std::string &input, std::size_t limit, RequestHead &head)
{
    std::size_t length = 0;
    const ReadState state = findHead(input, limit, length);
    if (state != ReadState::Complete) {
        return state;
    }
    const std::string_view text = std::string_view(input).substr(0, length);
    const std::size_t lineEnd = std::min(text.find("\r\n"), text.size());
    const std::string_view line = text.substr(0, lineEnd);
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    RequestHead parsed;
    if (first == std::string_view::npos || last == first || !isToken(line.substr(0, first))
        || !readVersion(line.substr(last + 1), parsed.isHttp10)) {
        return ReadState::Malformed;
    }
    parsed.method = line.substr(0, first);
    parsed.target = line.substr(first + 1, last - first - 1);
    const bool isValidTarget = !parsed.target.empty() && parsed.target.front() == '/'
        && std::all_of(parsed.target.begin(), parsed.target.end(), [](char c) {
               return static_cast<unsigned char>(c) > 0x20 && c != 0x7F;
           });
    const std::string_view rest = lineEnd < text.size() ? text.substr(lineEnd + 2) : std::string_view();
    if (!isValidTarget || !readFields(rest, parsed.fields) || countFields(parsed.fields, "Host") != 1) {
        return ReadState::Malformed;
    }
    head = std::move(parsed);
    input.erase(0, length + 4);
    return ReadState::Complete;
}

ReadState readResponseHead(std::string &input, std::size_t limit, ResponseHead &head)
{
    std::size_t length = 0;
    const ReadState state = findHead(input, limit, length);
    if (state != ReadState::Complete) {
        // Rejects bytes that cannot start a response at once, not only at the size limit.
        constexpr std::string_view prefix = "HTTP/1.";
        const std::size_t n = std::min(input.size(), prefix.size());
        return input.compare(0, n, prefix, 0, n) == 0 ? state : ReadState::Malformed;
    }
    const std::string_view text = std::string_view(input).substr(0, length);
    const std::size_t lineEnd = std::min(text.find("\r\n"), text.size());
    const std::string_view line = text.substr(0, lineEnd);
    constexpr std::size_t versionLength = 8;
    ResponseHead parsed;
    if (line.size() < versionLength + 4 || line[versionLength] != ' '
        || !readVersion(line.substr(0, versionLength), parsed.isHttp10)) {
        return ReadState::Malformed;
    }
    const std::string_view digits = line.substr(versionLength + 1, 3);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), parsed.status);
    if (ec != std::errc() || end != digits.data() + digits.size() || parsed.status < 100 || parsed.status > 599) {
        return ReadState::Malformed;
    }
    const std::string_view afterStatus = line.substr(versionLength + 4);
    if ((!afterStatus.empty() && afterStatus.front() != ' ')
        || !std::all_of(afterStatus.begin(), afterStatus.end(), isFieldValueChar)) {
        return ReadState::Malformed;
    }
    parsed.reason = trimmed(afterStatus);
    const std::string_view rest = lineEnd < text.size() ? text.substr(lineEnd + 2) : std::string_view();
    if (!readFields(rest, parsed.fields)) {
        return ReadState::Malformed;
    }
    head = std::move(parsed);
    input.erase(0, length + 4);
    return ReadState::Complete;
}

std::optional<BodyDecoder> requestBodyDecoder(const RequestHead &head)
{
    std::optional<std::uint64_t> length;
    if (!readLength(head.fields, length)) {
        return std::nullopt;
    }
    if (head.fields.has("Transfer-Encoding")) {
        // Accepting two framings at once would allow request smuggling.
        const bool isOnlyChunked = countFields(head.fields, "Transfer-Encoding") == 1
            && isSameFieldName(head.fields.value("Transfer-Encoding"), "chunked");
        return isOnlyChunked && !length && !head.isHttp10 ? std::optional(BodyDecoder::chunked()) : std::nullopt;
    }
    return length ? BodyDecoder::withLength(*length) : BodyDecoder();
}

std::optional<BodyDecoder> responseBodyDecoder(const ResponseHead &head, std::string_view method)
{
    if (method == "HEAD" || head.status < 200 || head.status == 204 || head.status == 304) {
        return BodyDecoder();
    }
    std::optional<std::uint64_t> length;
    if (!readLength(head.fields, length)) {
        return std::nullopt;
    }
    if (head.fields.has("Transfer-Encoding")) {
        const bool isOnlyChunked = countFields(head.fields, "Transfer-Encoding") == 1
            && isSameFieldName(head.fields.value("Transfer-Encoding"), "chunked");
        return isOnlyChunked && !length ? std::optional(BodyDecoder::chunked()) : std::nullopt;
    }
    return length ? BodyDecoder::withLength(*length) : BodyDecoder::untilClose();
}

} // namespace magnolia::httpwire
