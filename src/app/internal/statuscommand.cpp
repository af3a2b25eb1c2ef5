// `status`: shows the status of an entry instance.
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
        "Shows the status of an entry instance: peers, upstreams, classes, limits, configuration.\n"
        "On the platform, give the address of the metrics.\n\n"
        "examples: magnoliastream status --operator 127.0.0.1:9001\n"
        "          magnoliastream status --operator 10.1.0.40:9464 --json\n");
    options.add_options()("o,operator", "address ip:port of the operator listener of an entry instance",
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
