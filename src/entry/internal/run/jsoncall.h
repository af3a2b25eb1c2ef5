// A small call of an upstream whose answer is a JSON object.
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
    /** Null where the body is no JSON object. */
    nlohmann::json body;
};

/** Waits at most `timeout` for each step; nothing where no whole answer of at most `maxBytes` came. */
[[nodiscard]] std::optional<JsonAnswer> callJson(upstreams::IUpstreamClient &client, const std::string &address,
    const std::string &method, const std::string &path, const std::string &body, Milliseconds timeout,
    std::size_t maxBytes);

} // namespace magnolia::entry
