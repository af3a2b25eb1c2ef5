// Exit codes of the program; docs/operators/commands.md lists them.
#pragma once

namespace magnolia::app
{

constexpr int exitOk = 0;
/** The command failed. */
constexpr int exitFailure = 1;
/** The command line is invalid. */
constexpr int exitUsage = 2;
/** The settings are invalid. */
constexpr int exitSettings = 3;
/** The instance did not answer. */
constexpr int exitUnreachable = 4;
/** No log line refers to the request. */
constexpr int exitNotFound = 5;

} // namespace magnolia::app
