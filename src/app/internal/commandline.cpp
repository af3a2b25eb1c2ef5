// The command line: a subcommand and its options.
#include "app/internal/commandline.h"

#include "reports/resultcodespage.h"

#include "app/internal/exitcode.h"
#include "platform/platformcommand.h"

#include <cxxopts.hpp>

#include <array>
#include <iostream>
#include <string_view>
#include <unistd.h>

namespace magnolia::app
{

namespace
{

struct Command
{
    std::string_view name;
    std::string_view summary;
    int (*run)(int argc, const char *const *argv);
};

int runVersion(int /*argc*/, const char *const * /*argv*/)
{
    std::cout << "magnoliastream " << MAGNOLIA_VERSION << '\n';
    return exitOk;
}

int runCodes(int /*argc*/, const char *const * /*argv*/)
{
    std::cout << reports::resultCodesPage();
    return exitOk;
}

constexpr std::array commands{
    Command{"serve", "run an entry instance", runServe},
    Command{"platform", "run a gateway instance on the platform", platform::runPlatformCommand},
    Command{"check", "validate a settings file and print it with all defaults", runCheck},
    Command{"locate", "ask an entry instance which addresses to use", runLocate},
    Command{"status", "show the status of an entry instance", runStatus},
    Command{"explain", "print the trace of one request from the logs", runExplain},
    Command{"codes", "print the table of result codes", runCodes},
    Command{"version", "print the version", runVersion},
};

void printUsage(std::ostream &out)
{
    out << "usage: magnoliastream COMMAND [OPTIONS]\n\ncommands:\n";
    for (const Command &command : commands) {
        out << "  " << command.name << std::string(10 - command.name.size(), ' ') << command.summary << '\n';
    }
    out << "\nmagnoliastream COMMAND --help prints the options of a command.\n\n"
           "examples:\n"
           "  magnoliastream check --settings entry.jsonc\n"
           "  magnoliastream serve --settings entry.jsonc\n"
           "  magnoliastream locate --entry 127.0.0.1:8001 --organisation tambor-verde\n"
           "  magnoliastream status --operator 127.0.0.1:9001\n"
           "  magnoliastream explain 0193a5e0-7b1c-7000-8000-000000000001 entry-a1.log entry-a2.log\n\n"
           "exit codes: 0 success, 1 failure, 2 invalid usage, 3 invalid settings, 4 instance unreachable,\n"
           "            5 no log line about the request\n";
}

} // namespace

int runCommandLine(int argc, const char *const *argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h" || name == "help") {
        printUsage(std::cout);
        return exitOk;
    }
    for (const Command &command : commands) {
        if (command.name != name) {
            continue;
        }
        try {
            return command.run(argc - 1, argv + 1);
        } catch (const cxxopts::exceptions::exception &ex) {
            std::cerr << "magnoliastream " << name << ": " << ex.what() << "; see --help\n";
            return exitUsage;
        }
    }
    if (name.empty()) {
        printUsage(std::cerr);
    } else {
        std::cerr << "magnoliastream: unknown command " << name << "; see --help\n";
    }
    return exitUsage;
}

bool isTerminal()
{
    return ::isatty(STDOUT_FILENO) != 0;
}

} // namespace magnolia::app
