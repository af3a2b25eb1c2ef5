// Checks that the committed page of result codes matches the table.
#include "reports/resultcodespage.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

TEST_CASE("docs/RESULT-CODES.md equals the generated table of result codes")
{
    std::ifstream file(MAGNOLIA_SOURCE_DIR "/docs/RESULT-CODES.md");
    REQUIRE(file.good());
    std::stringstream committed;
    committed << file.rdbuf();
    CHECK(committed.str() == magnolia::reports::resultCodesPage());
}
