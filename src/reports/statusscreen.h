// Formats an instance's JSON status for a terminal.
#pragma once

#include "framework/global/error.h"

#include <string>

namespace magnolia::reports
{

/** Returns the status as text tables. Error: PlatformMalformed if `json` is not an instance status. */
[[nodiscard]] Result<std::string> statusScreen(const std::string &json, bool isColoured);

} // namespace magnolia::reports
