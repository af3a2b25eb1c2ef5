// Events are cut at the blank line only, however the bytes arrive.
#include "framework/testing/fuzzing.h"
#include "framework/testing/schedule.h"
#include "streaming/eventsplitter.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace magnolia;
using namespace magnolia::streaming;

TEST_CASE("any split of the bytes gives the same events")
{
    std::string all;
    for (int i = 0; i < 20; ++i) {
        all += "id: " + std::to_string(i) + "\ndata: {\"text\":\"t" + std::to_string(i) + "\"}\n\n";
    }
    all += "data: [DONE]\n\n";
    testing::forEachSeed(500, [&all](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        EventSplitter splitter;
        std::string seen;
        std::vector<std::uint64_t> ids;
        for (std::size_t at = 0; at < all.size();) {
            const std::size_t n = 1 + random.below(40);
            splitter.feed(std::string_view(all).substr(at, n));
            at += n;
            while (const auto event = splitter.next()) {
                seen += event->raw;
                if (event->id) {
                    ids.push_back(*event->id);
                }
            }
        }
        REQUIRE(seen == all);
        REQUIRE(ids.size() == 20);
        REQUIRE_FALSE(splitter.hasPartialEvent());
    });
}

TEST_CASE("half an event stays back and is told apart from none")
{
    EventSplitter splitter;
    splitter.feed("id: 0\ndata: x\n");
    CHECK_FALSE(splitter.next().has_value());
    CHECK(splitter.hasPartialEvent());
}

TEST_CASE("an id that is no number is no id")
{
    EventSplitter splitter;
    splitter.feed("id: 1x\ndata: a\n\nid: 99999999999999999999999\ndata: b\n\n");
    CHECK_FALSE(splitter.next()->id.has_value());
    CHECK_FALSE(splitter.next()->id.has_value());
}

TEST_CASE("an endless event is given up instead of filling the memory")
{
    EventSplitter splitter;
    const std::string part(64 * 1024, 'x');
    for (int i = 0; i < 17; ++i) {
        splitter.feed(part);
        CHECK_FALSE(splitter.next().has_value());
    }
    CHECK(splitter.isOverflowed());
}

TEST_CASE("fuzz: whatever comes in whatever pieces, events are its bytes in order and none is cut")
{
    std::string text;
    for (int id = 1; id <= 5; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: x\n\n";
    }
    Random random(23);
    for (int i = testing::fuzzRounds(); i > 0; --i) {
        const std::string bytes = testing::mutated(text, random);
        EventSplitter splitter;
        std::string passed;
        bool isWhole = true;
        for (std::size_t at = 0; at < bytes.size();) {
            const std::size_t size = 1 + random.below(20);
            splitter.feed(std::string_view(bytes).substr(at, size));
            at += size;
            while (const auto event = splitter.next()) {
                passed.append(event->raw);
                isWhole = isWhole && event->raw.ends_with("\n\n");
            }
        }
        if (!isWhole || !bytes.starts_with(passed) || splitter.hasPartialEvent() != (passed.size() < bytes.size())) {
            FAIL(bytes);
        }
    }
}
