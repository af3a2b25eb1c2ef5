// The commands that operators use with an instance on the platform, over real processes.
#include "childprocess.h"
#include "freeports.h"
#include "waiting.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace magnolia::sessions;

namespace
{

/** A folder that is gone with the test. */
struct Folder
{
    Folder()
        : path(std::filesystem::temp_directory_path() / ("magnolia-platform-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(path);
    }
    ~Folder()
    {
        std::filesystem::remove_all(path);
    }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    std::filesystem::path path;
};

std::string textOf(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

std::string portOf(const std::string &address)
{
    return address.substr(address.find(':') + 1);
}

struct Outcome
{
    int status = -1;
    std::string output;
    std::string errors;
};

Outcome runCommand(const Folder &folder, const std::vector<std::string> &args)
{
    const auto output = folder.path / "output";
    const auto errors = folder.path / "errors";
    std::filesystem::remove(output);
    std::filesystem::remove(errors);
    ChildProcess process(MAGNOLIA_BINARY, args, errors, output);
    const int status = process.waitForExit().value_or(-1);
    return {status, textOf(output), textOf(errors)};
}

} // namespace

TEST_CASE("an instance on the platform is checked, shown and located by the commands")
{
    const Folder folder;
    const std::string callers = freeAddress();
    const std::string readiness = freeAddress();
    const std::string store = freeAddress();
    const std::string operators = freeAddress();
    const auto settings = folder.path / "node.json";
    // Nobody listens at the store's address: the instance starts, and is not ready.
    std::ofstream(settings) << R"({"NodeName":"n1","Zone":"z1","Ip":"127.0.0.1","Listen":{"Front":")" << callers
                            << R"(","Readiness":")" << readiness << R"("},"InternalPortRange":[)"
                            << portOf(freeAddress())
                            << R"(,1],"Seeds":[],"Bounds":{"GraceS":"x"},"Platform":{"Address":")" << store << R"("}})";

    const Outcome checked = runCommand(folder, {"check", "--platform", "--settings", settings.string()});
    CHECK(checked.status == 0);
    CHECK(checked.output.find("\"instance\": \"n1\"") != std::string::npos);
    CHECK(checked.output.find("/Bounds/GraceS: a number from 0 up is expected") != std::string::npos);

    const ChildProcess instance(MAGNOLIA_BINARY,
        {"platform", "--settings", settings.string(), "--metrics-port", portOf(operators)},
        folder.path / "instance.err", folder.path / "instance.log");
    Outcome status;
    waitUntil([&] {
        status = runCommand(folder, {"status", "--operator", operators});
        return status.status == 0;
    });
    CHECK(status.output.find("state                   starting") != std::string::npos);
    CHECK(status.output.find("store_reached           false") != std::string::npos);
    CHECK(status.output.find("upstreams (0)") != std::string::npos);
    const Outcome located = runCommand(folder, {"locate", "--entry", operators});
    CHECK(located.status == 4);
    CHECK(located.errors.find("503") != std::string::npos);
}

TEST_CASE("all mistakes of a platform's settings are told at once")
{
    const Folder folder;
    const auto settings = folder.path / "node.json";
    std::ofstream(settings) << R"({"NodeName":"n1","Ip":5})";
    const Outcome checked = runCommand(folder, {"check", "--platform", "--settings", settings.string()});
    CHECK(checked.status == 3);
    for (const char *const field :
        {"/Zone", "/Ip", "/Listen/Front", "/Listen/Readiness", "/Platform/Address", "/InternalPortRange/0"}) {
        INFO(checked.errors);
        CHECK(checked.errors.find(field) != std::string::npos);
    }
}
