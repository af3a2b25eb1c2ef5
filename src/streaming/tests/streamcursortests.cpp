// Tests that each token of the request is forwarded once and in order, whatever the upstream sends.
#include "framework/testing/schedule.h"
#include "streaming/streamcursor.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::streaming;

namespace
{

struct SentToken
{
    std::string request;
    std::uint64_t offset = 0;
    std::string data;

    [[nodiscard]] StreamEvent event() const
    {
        return {data, data, offset};
    }
};

SentToken token(const std::string &request, std::uint64_t offset)
{
    return {request, offset, R"({"request_id":")" + request + R"(","index":)" + std::to_string(offset) + "}"};
}

} // namespace

TEST_CASE("with repeated, foreign and missing tokens each token is still forwarded once and in order")
{
    testing::forEachSeed(10000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        StreamCursor cursor(RequestId("r-1"));
        std::vector<std::uint64_t> forwarded;
        const std::uint64_t tokenCount = 1 + random.below(30);
        std::uint64_t position = 0;
        while (forwarded.size() < tokenCount) {
            SentToken sent = token("r-1", position);
            if (random.chance(0.1)) {
                sent = token(random.chance(0.5) ? "r-2" : "r-11", position);
            } else if (random.chance(0.1) && position > 0) {
                sent = token("r-1", random.below(position));
            } else if (random.chance(0.1)) {
                sent = token("r-1", position + 1 + random.below(3));
            } else {
                ++position;
            }
            const EventDisposition disposition = cursor.accept(sent.event());
            if (disposition == EventDisposition::Forward) {
                REQUIRE(sent.request == "r-1");
                forwarded.push_back(sent.offset);
            } else if (disposition == EventDisposition::Gap) {
                // The upstream call resumes at the cursor's offset.
                REQUIRE(sent.offset > cursor.nextOffset());
                position = cursor.nextOffset();
            } else if (disposition == EventDisposition::Foreign) {
                REQUIRE(sent.request != "r-1");
            }
        }
        for (std::uint64_t i = 0; i < tokenCount; ++i) {
            REQUIRE(forwarded[i] == i);
        }
    });
}

TEST_CASE("an event without an offset is malformed, and one without data is ignored")
{
    StreamCursor cursor(RequestId("r-1"));
    const SentToken sent = token("r-1", 0);
    CHECK(cursor.accept({sent.data, sent.data, std::nullopt}) == EventDisposition::Malformed);
    CHECK(cursor.accept({": ping\n\n", "", std::nullopt}) == EventDisposition::Ignored);
    CHECK(cursor.nextOffset() == 0);
}
