// `locate`: asks an entry instance which addresses to use.
#include "app/internal/commandline.h"
#include "app/internal/exitcode.h"
#include "app/internal/httpfetch.h"

#include <cxxopts.hpp>

#include <iostream>

namespace magnolia::app
{

int runLocate(int argc, const char *const *argv)
{
    cxxopts::Options options("magnoliastream locate",
        "Asks an entry instance which addresses to use. Several instances may be given; the first\n"
        "answer is printed. "
        "On the platform, give the address of the directory or of the metrics.\n\n"
        "examples: magnoliastream locate --entry 127.0.0.1:8001,127.0.0.1:8002\n"
        "          magnoliastream locate --entry 10.1.0.40:9464\n");
    options.add_options()("e,entry", "address ip:port of the caller listener of an entry instance",
        cxxopts::value<std::vector<std::string>>())("o,organisation", "organisation",
        cxxopts::value<std::string>()->default_value(""))("h,help", "print this help");
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
        std::cout << options.help();
        return exitOk;
    }
    for (const std::string &entry : args["entry"].as<std::vector<std::string>>()) {
        const auto answer = fetch(entry, "/v1/locate", {{"X-Organisation", args["organisation"].as<std::string>()}});
        if (answer) {
            std::cout << *answer << '\n';
            return exitOk;
        }
        std::cerr << "magnoliastream locate: " << answer.error().detail << '\n';
    }
    return exitUnreachable;
}

} // namespace magnolia::app
