// The format of a log line, which `explain` relies on.
#include "framework/logging/log.h"

#include <catch2/catch.hpp>

using namespace magnolia;

TEST_CASE("a log line is a JSON object with its fields in order")
{
    const std::string line = logging::format(logging::Level::Info, "routing", "chosen",
        {{"request", std::string_view("r-1")}, {"candidates", std::vector<std::string>{"e1", "e2"}},
            {"age_ms", std::int64_t{12}}});
    CHECK(line
        == R"({"level":"info","module":"routing","event":"chosen","request":"r-1","candidates":["e1","e2"],"age_ms":12})");
}

TEST_CASE("invalid UTF-8 and line breaks cannot split or corrupt a log line")
{
    const std::string line
        = logging::format(logging::Level::Warning, "entry", "malformed", {{"text", std::string_view("a\n\xff")}});
    CHECK(line.find('\n') == std::string::npos);
    CHECK(line.find("\\n") != std::string::npos);
}
