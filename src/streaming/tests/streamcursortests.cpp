// Each token of the right request is passed on once and in order, whatever the upstream sends.
#include "framework/testing/schedule.h"
#include "streaming/streamcursor.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::streaming;

namespace
{

struct Sent
{
    std::string request;
    std::uint64_t offset = 0;
    std::string data;

    [[nodiscard]] StreamEvent event() const
    {
        return {data, data, offset};
    }
};

Sent token(const std::string &request, std::uint64_t offset)
{
    return {request, offset, R"({"request_id":")" + request + R"(","index":)" + std::to_string(offset) + "}"};
}

} // namespace

TEST_CASE("repeated, crossed and missing tokens never reach the caller")
{
    testing::forEachSeed(10000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        StreamCursor cursor(RequestId("r-1"));
        std::vector<std::uint64_t> forwarded;
        const std::uint64_t length = 1 + random.below(30);
        std::uint64_t position = 0;
        while (forwarded.size() < length) {
            Sent sent = token("r-1", position);
            if (random.chance(0.1)) {
                sent = token(random.chance(0.5) ? "r-2" : "r-11", position);
            } else if (random.chance(0.1) && position > 0) {
                sent = token("r-1", random.below(position));
            } else if (random.chance(0.1)) {
                sent = token("r-1", position + 1 + random.below(3));
            } else {
                ++position;
            }
            const EventDisposition verdict = cursor.accept(sent.event());
            if (verdict == EventDisposition::Forward) {
                REQUIRE(sent.request == "r-1");
                forwarded.push_back(sent.offset);
            } else if (verdict == EventDisposition::Gap) {
                // The relay resumes at the cursor's offset.
                REQUIRE(sent.offset > cursor.nextOffset());
                position = cursor.nextOffset();
            } else if (verdict == EventDisposition::Foreign) {
                REQUIRE(sent.request != "r-1");
            }
        }
        for (std::uint64_t i = 0; i < length; ++i) {
            REQUIRE(forwarded[i] == i);
        }
    });
}

TEST_CASE("an event without its offset is malformed, one without data is ignored")
{
    StreamCursor cursor(RequestId("r-1"));
    const Sent sent = token("r-1", 0);
    CHECK(cursor.accept({sent.data, sent.data, std::nullopt}) == EventDisposition::Malformed);
    CHECK(cursor.accept({": ping\n\n", "", std::nullopt}) == EventDisposition::Ignored);
    CHECK(cursor.nextOffset() == 0);
}
