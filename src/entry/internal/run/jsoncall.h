// Calls an upstream that answers with a JSON object.
#pragma once

#include "framework/global/types/time.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace magnolia::upstreams
{
class IUpstreamClient;
}

namespace magnolia::entry
{

struct JsonAnswer
{
    int status = 0;
    /** Null if the body is not a JSON object. */
    nlohmann::json body;
};

/** Waits at most `timeout` in each step. Returns nothing unless a complete answer within `maxBytes` was received. */
[[nodiscard]] std::optional<JsonAnswer> callJson(upstreams::IUpstreamClient &client, const std::string &address,
    const std::string &method, const std::string &path, const std::string &body, Milliseconds timeout,
    std::size_t maxBytes);

} // namespace magnolia::entry
