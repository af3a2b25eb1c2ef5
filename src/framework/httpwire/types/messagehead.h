// The head of an HTTP/1.1 request or response.
#pragma once

#include "framework/httpwire/types/fields.h"

#include <string>
#include <string_view>

namespace magnolia::httpwire
{

struct RequestHead
{
    std::string method;
    /** Path and query as received or to be sent. */
    std::string target;
    bool isHttp10 = false;
    Fields fields;

    [[nodiscard]] std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

struct ResponseHead
{
    int status = 0;
    std::string reason;
    bool isHttp10 = false;
    Fields fields;
};

} // namespace magnolia::httpwire
