// The answer to an executed request, stored so that a resend of the same key gets the same answer.
#pragma once

#include <string>

namespace magnolia::idempotency
{

struct StoredAnswer
{
    int status = 200;
    std::string contentType;
    std::string body;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(status, contentType, body);
    }

    friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

} // namespace magnolia::idempotency
