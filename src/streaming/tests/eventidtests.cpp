// Tests that ids of any size are compared as numbers and keep their text.
#include "streaming/types/eventid.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace magnolia::streaming;

TEST_CASE("ids are compared as numbers of any size")
{
    const std::vector<std::string> ascending{"0", "1", "9", "10", "9007199254740992", "9007199254740993",
        "7402527129600000000", "7402527129600000004", "18446744073709551615", "18446744073709551616",
        "99999999999999999999", "100000000000000000000"};
    for (std::size_t i = 0; i < ascending.size(); ++i) {
        for (std::size_t j = 0; j < ascending.size(); ++j) {
            INFO(ascending[i] << " and " << ascending[j]);
            CHECK((*EventId::parse(ascending[i]) < *EventId::parse(ascending[j])) == (i < j));
            CHECK((*EventId::parse(ascending[i]) == *EventId::parse(ascending[j])) == (i == j));
        }
    }
    CHECK(*EventId::parse("007") == *EventId::parse("7"));
    CHECK(*EventId::parse("00") == *EventId::parse("0"));
    CHECK(*EventId::parse("0010") > *EventId::parse("9"));
}

TEST_CASE("an id keeps its text, and is a number where 64 bits hold it")
{
    CHECK(EventId::parse("007")->text() == "007");
    CHECK(EventId::parse("007")->number() == 7U);
    CHECK(EventId::parse("18446744073709551615")->number() == 18446744073709551615U);
    CHECK_FALSE(EventId::parse("18446744073709551616")->number().has_value());
}

TEST_CASE("text that is not only digits, or has too many of them, is no id")
{
    for (const char *text : {"", " 1", "1 ", "+1", "-1", "1.5", "1e3", "0x10", "1,2", "x"}) {
        INFO(text);
        CHECK_FALSE(EventId::parse(text).has_value());
    }
    CHECK(EventId::parse(std::string(EventId::maxDigits, '9')).has_value());
    CHECK_FALSE(EventId::parse(std::string(EventId::maxDigits + 1, '9')).has_value());
}
