// `explain`: prints the trace of one request from the logs.
#include "reports/explain.h"

#include "app/internal/commandline.h"
#include "app/internal/exitcode.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>

namespace magnolia::app
{

int runExplain(int argc, const char *const *argv)
{
    cxxopts::Options options("magnoliastream explain",
        "Prints the trace of one request from the logs of one or more entry instances. Without\n"
        "files, reads a log from standard input.\n\n"
        "example: magnoliastream explain 0193a5e0-7b1c-7000-8000-000000000001 a1.log a2.log\n");
    options.positional_help("REQUEST-ID [FILE...]");
    options.add_options()("request", "request id", cxxopts::value<std::string>())(
        "files", "log files", cxxopts::value<std::vector<std::string>>())("h,help", "print this help");
    options.parse_positional({"request", "files"});
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
        std::cout << options.help();
        return exitOk;
    }
    const RequestId request(args["request"].as<std::string>());
    reports::RequestTrace trace;
    if (args.count("files") == 0) {
        reports::collectEvents(trace, request, std::cin);
    } else {
        for (const std::string &path : args["files"].as<std::vector<std::string>>()) {
            std::ifstream file(path);
            if (!file) {
                std::cerr << "magnoliastream explain: " << path << " cannot be read\n";
                return exitFailure;
            }
            reports::collectEvents(trace, request, file);
        }
    }
    const bool isKnown = !trace.events.empty();
    std::cout << reports::formatTrace(std::move(trace), request, isTerminal());
    return isKnown ? exitOk : exitNotFound;
}

} // namespace magnolia::app
