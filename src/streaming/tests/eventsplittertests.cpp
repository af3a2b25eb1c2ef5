// Tests that events end only at blank lines, however the bytes arrive.
#include "framework/testing/fuzzing.h"
#include "framework/testing/schedule.h"
#include "streaming/eventsplitter.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace magnolia;
using namespace magnolia::streaming;

TEST_CASE("the events do not depend on how the bytes are split")
{
    std::string stream;
    for (int i = 0; i < 20; ++i) {
        stream += "id: " + std::to_string(i) + "\ndata: {\"text\":\"t" + std::to_string(i) + "\"}\n\n";
    }
    stream += "data: [DONE]\n\n";
    testing::forEachSeed(500, [&stream](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        EventSplitter splitter;
        std::string joinedEvents;
        std::vector<std::uint64_t> ids;
        for (std::size_t offset = 0; offset < stream.size();) {
            const std::size_t n = 1 + random.below(40);
            splitter.feed(std::string_view(stream).substr(offset, n));
            offset += n;
            while (const auto event = splitter.next()) {
                joinedEvents += event->raw;
                if (event->id) {
                    ids.push_back(*event->id);
                }
            }
        }
        REQUIRE(joinedEvents == stream);
        REQUIRE(ids.size() == 20);
        REQUIRE_FALSE(splitter.hasPartialEvent());
    });
}

TEST_CASE("an incomplete event is not returned, and hasPartialEvent reports it")
{
    EventSplitter splitter;
    splitter.feed("id: 0\ndata: x\n");
    CHECK_FALSE(splitter.next().has_value());
    CHECK(splitter.hasPartialEvent());
}

TEST_CASE("an id that is not a number is ignored")
{
    EventSplitter splitter;
    splitter.feed("id: 1x\ndata: a\n\nid: 99999999999999999999999\ndata: b\n\n");
    CHECK_FALSE(splitter.next()->id.has_value());
    CHECK_FALSE(splitter.next()->id.has_value());
}

TEST_CASE("an event that exceeds the size limit marks the stream as overflowed")
{
    EventSplitter splitter;
    const std::string part(64 * 1024, 'x');
    for (int i = 0; i < 17; ++i) {
        splitter.feed(part);
        CHECK_FALSE(splitter.next().has_value());
    }
    CHECK(splitter.isOverflowed());
}

TEST_CASE("fuzz: the events of a mutated stream are its bytes in order and are complete")
{
    std::string text;
    for (int id = 1; id <= 5; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: x\n\n";
    }
    Random random(23);
    for (int i = testing::fuzzRounds(); i > 0; --i) {
        const std::string bytes = testing::mutated(text, random);
        EventSplitter splitter;
        std::string joinedEvents;
        bool areEventsComplete = true;
        for (std::size_t offset = 0; offset < bytes.size();) {
            const std::size_t size = 1 + random.below(20);
            splitter.feed(std::string_view(bytes).substr(offset, size));
            offset += size;
            while (const auto event = splitter.next()) {
                joinedEvents.append(event->raw);
                areEventsComplete = areEventsComplete && event->raw.ends_with("\n\n");
            }
        }
        if (!areEventsComplete || !bytes.starts_with(joinedEvents)
            || splitter.hasPartialEvent() != (joinedEvents.size() < bytes.size())) {
            FAIL(bytes);
        }
    }
}
