// An HTTP request to an upstream, ready to be sent.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::upstreams
{

struct UpstreamCall
{
    /** Address `ip:port`. */
    std::string address;
    std::string method = "POST";
    /** Path and query. */
    std::string path;
    RequestId request;
    /** Additional header fields in the order in which they are sent. */
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType;
    /** Shared so that a retry does not copy a long prompt; may be null. */
    std::shared_ptr<const std::string> body;
    Milliseconds connectTimeout{1000};
    /** Maximum time for a single read or write without progress. */
    Milliseconds silenceTimeout{5000};
};

} // namespace magnolia::upstreams
