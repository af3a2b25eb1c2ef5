// Operator commands for an instance on the platform, with real processes.
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

/** A temporary directory that is removed with this object. */
struct TemporaryDirectory
{
    TemporaryDirectory()
        : path(std::filesystem::temp_directory_path() / ("magnolia-platform-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(path);
    }
    ~TemporaryDirectory()
    {
        std::filesystem::remove_all(path);
    }
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    std::filesystem::path path;
};

std::string readFile(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

std::string extractPort(const std::string &address)
{
    return address.substr(address.find(':') + 1);
}

struct CommandResult
{
    int status = -1;
    std::string output;
    std::string errors;
};

CommandResult runCommand(const TemporaryDirectory &directory, const std::vector<std::string> &args)
{
    const auto output = directory.path / "output";
    const auto errors = directory.path / "errors";
    std::filesystem::remove(output);
    std::filesystem::remove(errors);
    ChildProcess process(MAGNOLIA_BINARY, args, errors, output);
    const int status = process.waitForExit().value_or(-1);
    return {status, readFile(output), readFile(errors)};
}

} // namespace

TEST_CASE("check, status and locate report on a platform instance whose store is unreachable")
{
    const TemporaryDirectory directory;
    const std::string callers = findFreeAddress();
    const std::string readiness = findFreeAddress();
    const std::string store = findFreeAddress();
    const std::string operators = findFreeAddress();
    const auto settings = directory.path / "node.json";
    // Nothing listens on the address of the store, so the instance starts but does not become ready.
    std::ofstream(settings) << R"({"NodeName":"n1","Zone":"z1","Ip":"127.0.0.1","Listen":{"Front":")" << callers
                            << R"(","Readiness":")" << readiness << R"("},"InternalPortRange":[)"
                            << extractPort(findFreeAddress())
                            << R"(,1],"Seeds":[],"Bounds":{"GraceS":"x"},"Platform":{"Address":")" << store << R"("}})";

    const CommandResult checked = runCommand(directory, {"check", "--platform", "--settings", settings.string()});
    CHECK(checked.status == 0);
    CHECK(checked.output.find("\"instance\": \"n1\"") != std::string::npos);
    CHECK(checked.output.find("/Bounds/GraceS: a number from 0 up is expected") != std::string::npos);

    const ChildProcess instance(MAGNOLIA_BINARY,
        {"platform", "--settings", settings.string(), "--metrics-port", extractPort(operators)},
        directory.path / "instance.err", directory.path / "instance.log");
    CommandResult status;
    waitUntil([&] {
        status = runCommand(directory, {"status", "--operator", operators});
        return status.status == 0;
    });
    CHECK(status.output.find("state                   starting") != std::string::npos);
    CHECK(status.output.find("store_reached           false") != std::string::npos);
    CHECK(status.output.find("upstreams (0)") != std::string::npos);
    const CommandResult located = runCommand(directory, {"locate", "--entry", operators});
    CHECK(located.status == 4);
    CHECK(located.errors.find("503") != std::string::npos);
}

TEST_CASE("check reports all errors in the platform settings at once")
{
    const TemporaryDirectory directory;
    const auto settings = directory.path / "node.json";
    std::ofstream(settings) << R"({"NodeName":"n1","Ip":5})";
    const CommandResult checked = runCommand(directory, {"check", "--platform", "--settings", settings.string()});
    CHECK(checked.status == 3);
    for (const char *const field :
        {"/Zone", "/Ip", "/Listen/Front", "/Listen/Readiness", "/Platform/Address", "/InternalPortRange/0"}) {
        INFO(checked.errors);
        CHECK(checked.errors.find(field) != std::string::npos);
    }
}
