// The command line: a subcommand and its options.
#pragma once

#include <span>
#include <string>
#include <vector>

namespace magnolia::app
{

/** Runs the subcommand that the arguments name and returns the exit code. */
[[nodiscard]] int runCommandLine(int argc, const char *const *argv);

/** Whether standard output is a terminal, which enables colours. */
[[nodiscard]] bool isTerminal();

// One function per subcommand; each receives its own arguments and returns the exit code.
[[nodiscard]] int runServe(int argc, const char *const *argv);
[[nodiscard]] int runCheck(int argc, const char *const *argv);
[[nodiscard]] int runLocate(int argc, const char *const *argv);
[[nodiscard]] int runStatus(int argc, const char *const *argv);
[[nodiscard]] int runExplain(int argc, const char *const *argv);

} // namespace magnolia::app
