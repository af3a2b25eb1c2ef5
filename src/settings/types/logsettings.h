// Destination and level of the log.
#pragma once

#include <string>

namespace magnolia::settings
{

struct LogSettings
{
    /** One of debug, info, warning, error. */
    std::string level = "info";
    /** Path of the log file; empty for standard error. */
    std::string file;
};

} // namespace magnolia::settings
