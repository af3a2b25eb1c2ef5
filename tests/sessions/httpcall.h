// HTTP client functions for the tests.
#pragma once

#include <nlohmann/json.hpp>
#include <Poco/Net/HTTPClientSession.h>

#include <istream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::sessions
{

struct HttpRequest
{
    std::string method = "GET";
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct HttpResponse
{
    /** 0 if the connection ended without a response. */
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

/** A call on its own connection whose response is read incrementally. */
class StreamingCall
{
public:
    StreamingCall(const std::string &address, const HttpRequest &request);

    /** Waits for the status and headers of the response. */
    [[nodiscard]] HttpResponse readHead();
    /** Reads one event, without the empty line that ends it. Returns an empty string at the end of the stream. */
    [[nodiscard]] std::string readEvent();
    [[nodiscard]] std::string readRest();
    /** Closes the connection before the response is complete. */
    void disconnect();

private:
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session;
    std::istream *m_in = nullptr;
};

/** Sends `request` to `address` on a new connection and reads the complete response. */
[[nodiscard]] HttpResponse call(const std::string &address, const HttpRequest &request);

/** Sends `bytes` unchanged and reads until the server closes the connection. */
[[nodiscard]] std::string callRaw(const std::string &address, const std::string &bytes);

[[nodiscard]] nlohmann::json fetchJson(const std::string &address, const std::string &path);
/** Sends a POST request with a JSON body. */
HttpResponse postJson(const std::string &address, const std::string &path, const nlohmann::json &body);

} // namespace magnolia::sessions
