// Request handler of an HTTP server.
#pragma once

#include "framework/global/error.h"

namespace Poco::Net
{
class HTTPServerRequest;
class HTTPServerResponse;
}

namespace magnolia
{

class SlowSenderWatch;

class IHttpHandler
{
public:
    virtual ~IHttpHandler() = default;

    /** Answers one request. Called concurrently from many threads. */
    virtual void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) = 0;

    /** Answers a request whose head could not be read. */
    virtual void refuse(Poco::Net::HTTPServerResponse &response, const Error &error) = 0;
};

} // namespace magnolia
