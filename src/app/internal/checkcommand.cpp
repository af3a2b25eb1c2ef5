// `check`: validates a settings file and prints it with all defaults.
#include "app/internal/commandline.h"
#include "app/internal/exitcode.h"
#include "platform/platformcommand.h"
#include "settings/settings.h"

#include <cxxopts.hpp>

#include <iostream>

namespace magnolia::app
{

int runCheck(int argc, const char *const *argv)
{
    cxxopts::Options options("magnoliastream check",
        "Validates a settings file. Prints all problems, or the settings with all\n"
        "defaults filled in and secrets masked.\n\n"
        "examples: magnoliastream check --settings entry.jsonc\n"
        "          magnoliastream check --platform --settings node.json\n");
    options.add_options()("s,settings", "settings file", cxxopts::value<std::string>())(
        "platform", "the settings file is filled in by the platform")("h,help", "print this help");
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
        std::cout << options.help();
        return exitOk;
    }
    if (args.count("platform") > 0) {
        return platform::checkPlatformSettings(args["settings"].as<std::string>());
    }
    const auto settingsOrProblems = settings::readSettings(args["settings"].as<std::string>());
    if (!settingsOrProblems) {
        std::cerr << settings::toString(settingsOrProblems.error()) << '\n';
        return exitSettings;
    }
    std::cout << settings::printSettings(*settingsOrProblems) << '\n';
    return exitOk;
}

} // namespace magnolia::app
