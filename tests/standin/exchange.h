// One HTTP request and its response, with the faults that apply to them.
#pragma once

#include "standin/context.h"

#include <nlohmann/json_fwd.hpp>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace magnolia::standin
{

/** Hashes and size of a request body that was read but not stored. */
struct BodyDigest
{
    std::uint64_t hash = 0;
    /** Hash of at most the first `prefixBytes` bytes; the key in the prefix cache. */
    std::uint64_t prefixHash = 0;
    std::uint64_t bytes = 0;
    /** False if the body ended before the announced Content-Length. */
    bool isComplete = true;
};

constexpr std::size_t prefixBytes = 4096;

[[nodiscard]] std::string toHex(std::uint64_t value);

class Exchange
{
public:
    Exchange(Context &context, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

    [[nodiscard]] Context &context() const
    {
        return m_context;
    }
    [[nodiscard]] const std::string &method() const
    {
        return m_request.getMethod();
    }
    [[nodiscard]] const std::string &path() const
    {
        return m_path;
    }
    [[nodiscard]] std::string header(const std::string &name) const
    {
        return m_request.get(name, "");
    }
    [[nodiscard]] std::uint64_t numericHeader(const std::string &name, std::uint64_t defaultValue) const;
    [[nodiscard]] std::optional<std::uint64_t> numericParameter(std::string_view name) const;
    /** Returns the URL-decoded rest of the path after `prefix`, or nothing if the path does not start with it. */
    [[nodiscard]] std::optional<std::string> pathWithoutPrefix(std::string_view prefix) const;

    /** Reads the body block by block and returns its digest; the body itself is not stored. */
    [[nodiscard]] BodyDigest readBodyDigest();
    /** Reads and parses the body as JSON. Throws if it is not valid JSON. */
    [[nodiscard]] nlohmann::json readJson();

    void sendJson(int status, const nlohmann::json &body);
    void sendText(int status, const std::string &contentType, const std::string &body);
    void sendEmpty(int status);
    void setHeader(const std::string &name, const std::string &value);
    /** Sends the headers of an event stream. The caller writes each event to the returned stream and flushes it. */
    [[nodiscard]] std::ostream &beginEventStream();

    /** Closes the connection immediately, without completing the response. */
    void abortConnection();
    /** Blocks while the process is frozen. On a silenced connection, blocks until it is unsilenced or disconnected. */
    void applyConnectionFaults();
    /** Applies the faults that occur after execution and before the response; false if no response is to be sent. */
    [[nodiscard]] bool applyResponseFaults();

private:
    void waitWhileSilenced();

    Context &m_context;
    Poco::Net::HTTPServerRequest &m_request;
    Poco::Net::HTTPServerResponse &m_response;
    std::string m_path;
    std::string m_query;
    std::string m_clientAddress;
};

} // namespace magnolia::standin
