// `serve`: runs an entry instance.
#include "app/internal/commandline.h"
#include "app/internal/entryprocess.h"
#include "app/internal/exitcode.h"
#include "app/internal/signals.h"
#include "framework/logging/log.h"
#include "settings/settings.h"

#include <cxxopts.hpp>

#include <iostream>

namespace magnolia::app
{

int runServe(int argc, const char *const *argv)
{
    cxxopts::Options options("magnoliastream serve",
        "Runs an entry instance until SIGTERM or SIGINT, which stop it gracefully: open requests\n"
        "are completed, and callers that still use its address are served. A second signal stops\n"
        "it at once. SIGHUP reloads peer keys and certificates.\n\n"
        "example: magnoliastream serve --settings entry.jsonc\n");
    options.add_options()("s,settings", "settings file", cxxopts::value<std::string>())("h,help", "print this help");
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
        std::cout << options.help();
        return exitOk;
    }
    const auto path = args["settings"].as<std::string>();
    const auto settingsOrProblems = settings::readSettings(path);
    if (!settingsOrProblems) {
        std::cerr << settings::toString(settingsOrProblems.error()) << '\n';
        return exitSettings;
    }
    blockSignals();
    logging::setUp(settingsOrProblems->log.file, logging::levelFromName(settingsOrProblems->log.level),
        settingsOrProblems->instance.value());
    EntryProcess process(*settingsOrProblems, path);
    if (const auto started = process.start(); !started) {
        std::cerr << "magnoliastream serve: " << resultCodeInfo(started.error().code).name << ": "
                  << started.error().detail << '\n';
        return exitFailure;
    }
    return process.runUntilStopped() ? exitOk : exitFailure;
}

} // namespace magnolia::app
