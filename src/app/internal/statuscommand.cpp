// `status`: one screen of what an entry knows.
#include "reports/statusscreen.h"

#include "app/internal/commandline.h"
#include "app/internal/exitcode.h"
#include "app/internal/httpfetch.h"

#include <cxxopts.hpp>

#include <iostream>

namespace magnolia::app
{

int runStatus(int argc, const char *const *argv)
{
    cxxopts::Options options("magnoliastream status",
        "Shows what an entry instance knows: peers, upstreams, classes, limits, configuration.\n"
        "On the platform the metrics' address is the operator's.\n\n"
        "examples: magnoliastream status --operator 127.0.0.1:9001\n"
        "          magnoliastream status --operator 10.1.0.40:9464 --json\n");
    options.add_options()("o,operator", "address ip:port of the entry's operator listener",
        cxxopts::value<std::string>())("json", "print the status as JSON")("h,help", "print this help");
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
        std::cout << options.help();
        return exitOk;
    }
    const auto status = fetch(args["operator"].as<std::string>(), "/status");
    if (!status) {
        std::cerr << "magnoliastream status: " << status.error().detail << '\n';
        return exitUnreachable;
    }
    if (args.count("json") > 0) {
        std::cout << *status << '\n';
        return exitOk;
    }
    const auto screen = reports::statusScreen(*status, isTerminal());
    if (!screen) {
        std::cerr << "magnoliastream status: " << screen.error().detail << '\n';
        return exitFailure;
    }
    std::cout << *screen;
    return exitOk;
}

} // namespace magnolia::app
