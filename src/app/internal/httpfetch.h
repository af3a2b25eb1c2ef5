// HTTP client for the commands that query an instance.
#pragma once

#include "framework/global/error.h"

#include <string>
#include <utility>
#include <vector>

namespace magnolia::app
{

/** Sends a GET request and returns the body of a 200 response. Errors: PeerUnreachable, PlatformMalformed. */
[[nodiscard]] Result<std::string> fetch(const std::string &address, const std::string &path,
    const std::vector<std::pair<std::string, std::string>> &headers = {});

} // namespace magnolia::app
