// Tests the format of the Retry-After field.
#include "gateway/internal/retryafter.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;

TEST_CASE("Retry-After is written in seconds with three decimals for delays of any length")
{
    CHECK(writeRetryAfter(Milliseconds(0)) == "0.000");
    CHECK(writeRetryAfter(Milliseconds(7)) == "0.007");
    CHECK(writeRetryAfter(Milliseconds(99)) == "0.099");
    CHECK(writeRetryAfter(Milliseconds(450)) == "0.450");
    CHECK(writeRetryAfter(Milliseconds(1000)) == "1.000");
    CHECK(writeRetryAfter(Milliseconds(1050)) == "1.050");
    CHECK(writeRetryAfter(Milliseconds(12'345)) == "12.345");
    CHECK(writeRetryAfter(Milliseconds(-5)) == "0.000");
}
