// Tests of the published state.
#include "published/publishedstate.h"

#include <catch2/catch.hpp>

#include <charconv>

using namespace magnolia;
using namespace magnolia::published;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

/** Decodes "c" as a configuration version, and "ready" or "leaving" under other keys as an upstream. */
class FakeDecoder : public IItemDecoder
{
public:
    ItemKind kindOf(const std::string &key) const override
    {
        return key == "c" ? ItemKind::Configuration : key == "x" ? ItemKind::Other : ItemKind::Upstream;
    }
    std::optional<catalogue::Catalogue> decodeConfiguration(const StoreItem &item) const override
    {
        catalogue::Catalogue decoded;
        const auto [end, ec]
            = std::from_chars(item.bytes.data(), item.bytes.data() + item.bytes.size(), decoded.version);
        return ec == std::errc() ? std::optional(decoded) : std::nullopt;
    }
    std::optional<catalogue::UpstreamEntry> decodeUpstream(const StoreItem &item) const override
    {
        if (item.bytes != "ready" && item.bytes != "leaving") {
            return std::nullopt;
        }
        catalogue::UpstreamEntry decoded;
        decoded.id = UpstreamId(item.key);
        decoded.isLeaving = item.bytes == "leaving";
        return decoded;
    }
};

} // namespace

TEST_CASE("an older, unreadable or deleted configuration does not replace a newer one")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    CHECK(state.apply({"c", "5", 10, false}, start).hasNewConfiguration);
    CHECK_FALSE(state.apply({"c", "4", 9, false}, start).hasNewConfiguration);
    CHECK_FALSE(state.apply({"c", "4", 12, false}, start).hasNewConfiguration);
    CHECK_FALSE(state.apply({"c", "unreadable", 13, false}, start).hasNewConfiguration);
    CHECK_FALSE(state.apply({"c", "", 14, true}, start).hasNewConfiguration);
    CHECK(state.configuration()->version == 5);
    CHECK(state.apply({"c", "9", 15, false}, start).hasNewConfiguration);
}

TEST_CASE("an upstream that leaves stays leaving within one run")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.apply({"u", "ready", 1, false}, start);
    state.apply({"u", "leaving", 2, false}, start);
    CHECK(state.upstreams().at("u").entry.isLeaving);
    CHECK_FALSE(state.apply({"u", "ready", 1, false}, start).hasChangedUpstreams);
    state.apply({"u", "ready", 3, false}, start);
    CHECK(state.upstreams().at("u").entry.isLeaving);
}

TEST_CASE("a removed upstream is gone at once, and an outdated item does not restore it")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.apply({"u", "ready", 1, false}, start);
    CHECK(state.apply({"u", "", 2, true}, start).hasChangedUpstreams);
    CHECK(state.upstreams().empty());
    state.apply({"u", "ready", 1, false}, start);
    CHECK(state.upstreams().empty());
    state.apply({"u", "ready", 3, false}, start);
    CHECK(state.upstreams().size() == 1);
}

TEST_CASE("entries that are missing after the store is back are kept until the lease grace ends")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"u", "ready", 1, false}, {"v", "ready", 2, false}}, 2, start);
    state.onStoreReconnected(start);
    state.applyAll({}, 9, start);
    CHECK(state.upstreams().size() == 2);
    state.apply({"u", "ready", 10, false}, start + Milliseconds(500));
    CHECK_FALSE(state.removeExpired(start + Milliseconds(1900)).hasChangedUpstreams);
    CHECK(state.removeExpired(start + Milliseconds(2100)).hasChangedUpstreams);
    CHECK(state.upstreams().size() == 1);
    CHECK(state.upstreams().contains("u"));
}

TEST_CASE("the lease grace does not apply to a leaving upstream")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.apply({"u", "leaving", 1, false}, start);
    state.onStoreReconnected(start);
    state.apply({"u", "", 2, true}, start);
    CHECK(state.upstreams().empty());
}

TEST_CASE("an unreadable entry removes its upstream and does not affect the others")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"u", "ready", 1, false}, {"v", "\x01\x02", 2, false}, {"x", "?", 3, false}}, 3, start);
    CHECK(state.upstreams().size() == 1);
    state.apply({"u", "garbage", 4, false}, start);
    CHECK(state.upstreams().empty());
}

TEST_CASE("the items of one instance bring another to the same state")
{
    const FakeDecoder decoder;
    PublishedState one(decoder);
    one.applyAll({{"c", "7", 3, false}, {"u", "ready", 1, false}, {"v", "ready", 2, false}}, 3, start);
    one.apply({"v", "", 4, true}, start);
    PublishedState two(decoder);
    two.apply({"v", "ready", 2, false}, start);
    for (const StoreItem &item : one.items()) {
        two.apply(item, start);
    }
    CHECK(two.configuration()->version == 7);
    CHECK(two.upstreams().size() == 1);
    CHECK(two.revision() == one.revision());
}
