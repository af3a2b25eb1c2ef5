// Reads requests, writes responses and applies faults.
#include "standin/exchange.h"

#include <nlohmann/json.hpp>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <thread>

namespace magnolia::standin
{

namespace
{

// Limited because the buffer is on the stack of a connection thread, which has 128 KiB.
constexpr std::size_t readBufferBytes = 16 * 1024;
constexpr std::chrono::milliseconds faultPollInterval{2};

using HashState = std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)>;

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    if (text.empty()) {
        return std::nullopt;
    }
    char *end = nullptr;
    const std::uint64_t value = std::strtoull(text.c_str(), &end, 10);
    return *end == '\0' ? std::optional(value) : std::nullopt;
}

} // namespace

std::string toHex(std::uint64_t value)
{
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(value));
    return buf.data();
}

Exchange::Exchange(Context &context, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    : m_context(context)
    , m_request(request)
    , m_response(response)
    , m_clientAddress(request.clientAddress().toString())
{
    const std::string &uri = request.getURI();
    const std::size_t queryMark = uri.find('?');
    m_path = uri.substr(0, queryMark);
    m_query = queryMark == std::string::npos ? "" : uri.substr(queryMark + 1);
}

std::uint64_t Exchange::numericHeader(const std::string &name, std::uint64_t defaultValue) const
{
    return parseNumber(header(name)).value_or(defaultValue);
}

std::optional<std::uint64_t> Exchange::numericParameter(std::string_view name) const
{
    const std::string query = "&" + m_query;
    const std::string key = "&" + std::string(name) + "=";
    const std::size_t start = query.find(key);
    if (start == std::string::npos) {
        return std::nullopt;
    }
    const std::size_t from = start + key.size();
    return parseNumber(query.substr(from, query.find('&', from) - from));
}

std::optional<std::string> Exchange::pathWithoutPrefix(std::string_view prefix) const
{
    if (!m_path.starts_with(prefix)) {
        return std::nullopt;
    }
    std::string rest;
    Poco::URI::decode(m_path.substr(prefix.size()), rest);
    return rest;
}

BodyDigest Exchange::readBodyDigest()
{
    BodyDigest digest;
    const HashState state(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    std::array<char, readBufferBytes> buf;
    std::istream &in = m_request.stream();
    while (in.read(buf.data(), buf.size()), in.gcount() > 0) {
        const auto n = static_cast<std::size_t>(in.gcount());
        if (digest.bytes == 0) {
            digest.prefixHash = XXH3_64bits(buf.data(), std::min(n, prefixBytes));
        }
        XXH3_64bits_update(state.get(), buf.data(), n);
        digest.bytes += n;
    }
    digest.hash = XXH3_64bits_digest(state.get());
    const std::streamsize contentLength = m_request.getContentLength();
    digest.isComplete = contentLength < 0 || static_cast<std::uint64_t>(contentLength) == digest.bytes;
    return digest;
}

nlohmann::json Exchange::readJson()
{
    return nlohmann::json::parse(m_request.stream());
}

void Exchange::sendJson(int status, const nlohmann::json &body)
{
    sendText(status, "application/json", body.dump());
}

void Exchange::sendText(int status, const std::string &contentType, const std::string &body)
{
    m_response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    m_response.setContentType(contentType);
    m_response.sendBuffer(body.data(), body.size());
}

void Exchange::sendEmpty(int status)
{
    m_response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    m_response.setContentLength(0);
    m_response.send();
}

void Exchange::setHeader(const std::string &name, const std::string &value)
{
    m_response.set(name, value);
}

std::ostream &Exchange::beginEventStream()
{
    m_response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_OK);
    m_response.setContentType("text/event-stream");
    m_response.set("Cache-Control", "no-store");
    m_response.setChunkedTransferEncoding(true);
    std::ostream &out = m_response.send();
    out.flush();
    return out;
}

void Exchange::abortConnection()
{
    m_response.setKeepAlive(false);
    static_cast<Poco::Net::HTTPServerRequestImpl &>(m_request).socket().shutdown();
}

void Exchange::applyConnectionFaults()
{
    if (m_context.connections.isSilent(m_clientAddress)) {
        waitWhileSilenced();
    }
    while (m_context.faults.isFrozen) {
        std::this_thread::sleep_for(faultPollInterval);
    }
}

bool Exchange::applyResponseFaults()
{
    if (m_context.faults.dropsAfterRequest) {
        abortConnection();
        return false;
    }
    const std::int64_t delay = m_context.faults.answerDelayMs;
    if (delay > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(delay));
    }
    applyConnectionFaults();
    return true;
}

void Exchange::waitWhileSilenced()
{
    auto &socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(m_request).socket();
    const Poco::Timespan pollTime(0, 200'000);
    while (m_context.connections.isSilent(m_clientAddress)) {
        if (socket.poll(pollTime, Poco::Net::Socket::SELECT_READ)) {
            if (socket.available() == 0) {
                return;
            }
            // Unread input keeps the socket readable, so that poll() returns immediately; the sleep avoids a busy loop.
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
    }
}

} // namespace magnolia::standin
