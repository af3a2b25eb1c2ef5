// Tests of the published state.
#include "published/publishedstate.h"

#include <catch2/catch.hpp>

#include <charconv>

using namespace magnolia;
using namespace magnolia::published;

namespace
{

const std::string evacuationPrefix = "evacuate ";
const MonoTime start{std::chrono::seconds(100)};

/**
 * Decodes "c" as a configuration version, and "ready" or "leaving", perhaps with a start time, as an upstream. Items at
 * "evacuate DATACENTRE" are evacuations.
 */
class FakeDecoder : public IItemDecoder
{
public:
    ItemKind kindOf(const std::string &key) const override
    {
        if (key.starts_with(evacuationPrefix)) {
            return ItemKind::Evacuation;
        }
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
        if (!item.bytes.starts_with("ready") && !item.bytes.starts_with("leaving")) {
            return std::nullopt;
        }
        const std::size_t at = item.bytes.find(' ');
        const std::uint64_t startedAt = at == std::string::npos ? 0 : std::stoull(item.bytes.substr(at));
        catalogue::UpstreamEntry decoded;
        decoded.id = UpstreamId(item.key);
        decoded.isLeaving = item.bytes.starts_with("leaving");
        decoded.startedAt = startedAt;
        return decoded;
    }
    DataCentreId evacuatedDataCentre(const std::string &key) const override
    {
        return DataCentreId(key.substr(evacuationPrefix.size()));
    }
    std::string evacuationKey(const DataCentreId &dataCentre) const override
    {
        return evacuationPrefix + dataCentre.value();
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
    state.applyAll({{"u", "ready", 1, false}, {"v", "ready", 2, false}}, {0, 2}, start);
    state.onStoreReconnected(start);
    state.applyAll({}, {0, 9}, start);
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
    state.applyAll({{"u", "ready", 1, false}, {"v", "\x01\x02", 2, false}, {"x", "?", 3, false}}, {0, 3}, start);
    CHECK(state.upstreams().size() == 1);
    state.apply({"u", "garbage", 4, false}, start);
    CHECK(state.upstreams().empty());
}

TEST_CASE("the items of one instance bring another to the same state")
{
    const FakeDecoder decoder;
    PublishedState one(decoder);
    one.applyAll({{"c", "7", 3, false}, {"u", "ready", 1, false}, {"v", "ready", 2, false}}, {0, 3}, start);
    one.apply({"v", "", 4, true}, start);
    PublishedState two(decoder);
    two.apply({"v", "ready", 2, false}, start);
    for (const StoreItem &item : one.items()) {
        two.apply(item, start);
    }
    CHECK(two.configuration()->version == 7);
    CHECK(two.upstreams().size() == 1);
    CHECK(two.position() == one.position());
}

TEST_CASE("changes that are written again after the store came back older apply in spite of their lower revisions")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"c", "5", 90, false, 1}, {"u", "ready", 91, false, 1}}, {1, 100}, start);
    // The copy has an earlier configuration, which does not come into force.
    CHECK_FALSE(state.applyAll({{"c", "3", 40, false, 2}}, {2, 50}, start).hasNewConfiguration);
    CHECK(state.configuration()->version == 5);
    CHECK_FALSE(state.apply({"c", "5", 51, false, 2}, start).hasNewConfiguration);
    CHECK(state.apply({"c", "7", 52, false, 2}, start).hasNewConfiguration);
    CHECK(state.apply({"v", "ready", 53, false, 2}, start).hasChangedUpstreams);
    CHECK(state.apply({"u", "leaving", 54, false, 2}, start).hasChangedUpstreams);
    CHECK(state.position() == StorePosition{2, 54});
}

TEST_CASE("an instance that has read an older copy of the store takes a newer configuration from a peer")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"c", "3", 40, false, 2}}, {2, 50}, start);
    CHECK(state.apply({"c", "5", 90, false, 1}, start).hasNewConfiguration);
    CHECK(state.apply({"c", "6", 51, false, 2}, start).hasNewConfiguration);
}

TEST_CASE("an upstream whose registration the store has lost is kept for the lease grace")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"u", "ready 1", 91, false, 1}}, {1, 100}, start);
    state.onStoreReconnected(start);
    state.applyAll({}, {2, 50}, start);
    CHECK(state.upstreams().contains("u"));
    CHECK(state.removeExpired(start + Milliseconds(2100)).hasChangedUpstreams);
    // The registration is written again late, with a revision of the new era.
    CHECK(state.apply({"u", "ready 1", 60, false, 2}, start + Milliseconds(2200)).hasChangedUpstreams);
}

TEST_CASE("a removed upstream that an older copy of the store has again is not used until its lease would have expired")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"u", "ready 1", 40, false, 1}, {"v", "ready 1", 41, false, 1}}, {1, 41}, start);
    state.apply({"u", "", 90, true, 1}, start);
    state.apply({"v", "", 91, true, 1}, start);
    state.applyAll({{"u", "ready 1", 40, false, 2}, {"v", "ready 1", 41, false, 2}}, {2, 50}, start);
    CHECK(state.upstreams().empty());
    CHECK_FALSE(state.removeExpired(start + Milliseconds(4900)).hasChangedUpstreams);
    // One is gone, the lease of the other is renewed.
    state.apply({"u", "", 51, true, 2}, start + Milliseconds(4950));
    CHECK(state.removeExpired(start + Milliseconds(5100)).hasChangedUpstreams);
    CHECK_FALSE(state.upstreams().contains("u"));
    CHECK(state.upstreams().contains("v"));
}

TEST_CASE("a removed upstream that an older copy of the store has again is used once it has registered again")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"u", "ready 1", 40, false, 1}}, {1, 41}, start);
    state.apply({"u", "", 90, true, 1}, start);
    state.applyAll({{"u", "ready 1", 40, false, 2}}, {2, 50}, start);
    CHECK(state.upstreams().empty());
    CHECK(state.apply({"u", "ready 1", 51, false, 2}, start).hasChangedUpstreams);
}

TEST_CASE("an earlier run of an upstream in an older copy of the store does not replace the present one")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"u", "ready 7", 90, false, 1}}, {1, 90}, start);
    state.applyAll({{"u", "leaving 5", 40, false, 2}}, {2, 50}, start);
    CHECK(state.upstreams().at("u").entry.startedAt == 7);
    CHECK_FALSE(state.upstreams().at("u").entry.isLeaving);
}

TEST_CASE("an upstream that leaves stays leaving when an older copy of the store calls it ready")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"u", "leaving 7", 90, false, 1}}, {1, 90}, start);
    state.applyAll({{"u", "ready 7", 40, false, 2}}, {2, 50}, start);
    CHECK(state.upstreams().at("u").entry.isLeaving);
}

TEST_CASE("an outdated item of a peer does not cancel a removal that waits for the end of the lease grace")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"u", "ready", 1, false}, {"v", "ready", 2, false}}, {0, 2}, start);
    state.onStoreReconnected(start);
    state.apply({"u", "", 5, true}, start);
    state.apply({"v", "", 6, true}, start);
    // The snapshot of a peer that has not heard of the removals yet.
    state.apply({"u", "ready", 1, false}, start + Milliseconds(10));
    state.apply({"v", "ready", 2, false}, start + Milliseconds(10));
    // An entry that is written again after its removal is back.
    state.apply({"v", "ready", 7, false}, start + Milliseconds(500));
    CHECK(state.removeExpired(start + Milliseconds(2100)).hasChangedUpstreams);
    CHECK_FALSE(state.upstreams().contains("u"));
    CHECK(state.upstreams().contains("v"));
}

TEST_CASE("a peer that missed the removal of an upstream does not bring it back at an instance that has read the store")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"v", "ready", 2, false}}, {0, 9}, start);
    CHECK_FALSE(state.apply({"u", "ready", 5, false}, start).hasChangedUpstreams);
    CHECK_FALSE(state.upstreams().contains("u"));
    // Registered after the read.
    CHECK(state.apply({"u", "ready", 10, false}, start).hasChangedUpstreams);
}

TEST_CASE(
    "a peer that missed the removal of an upstream does not bring it back at an instance that has a whole snapshot")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.apply({"v", "ready", 9, false}, start);
    state.setComplete({0, 9});
    state.apply({"u", "ready", 5, false}, start);
    CHECK_FALSE(state.upstreams().contains("u"));
}

TEST_CASE("an evacuation is in force from its item on until the item is deleted")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    CHECK(state.apply({"evacuate a", "{}", 5, false}, start).hasChangedEvacuations);
    CHECK(state.apply({"evacuate b", "", 6, false}, start).hasChangedEvacuations);
    CHECK(state.evacuations().size() == 2);
    // Writing the item again changes nothing.
    CHECK_FALSE(state.apply({"evacuate a", "{}", 7, false}, start).hasChangedEvacuations);
    CHECK(state.apply({"evacuate a", "", 8, true}, start).hasChangedEvacuations);
    CHECK(state.evacuations().size() == 1);
    CHECK(state.evacuations().contains(DataCentreId("b")));
    CHECK(state.upstreams().empty());
}

TEST_CASE("outdated items neither start nor end an evacuation")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.apply({"evacuate a", "{}", 5, false}, start);
    CHECK_FALSE(state.apply({"evacuate a", "", 4, true}, start).hasChangedEvacuations);
    CHECK(state.evacuations().size() == 1);
    state.apply({"evacuate a", "", 8, true}, start);
    CHECK_FALSE(state.apply({"evacuate a", "{}", 5, false}, start).hasChangedEvacuations);
    CHECK_FALSE(state.applyEvacuation(DataCentreId("a"), {0, 8}, false, start).hasChangedEvacuations);
    CHECK(state.evacuations().empty());
    CHECK(state.apply({"evacuate a", "{}", 9, false}, start).hasChangedEvacuations);
}

TEST_CASE("a full read ends the evacuations that it does not return")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"evacuate a", "{}", 5, false}, {"evacuate b", "{}", 6, false}}, {0, 10}, start);
    CHECK(state.evacuations().size() == 2);
    CHECK(state.applyAll({{"evacuate b", "{}", 6, false}}, {0, 20}, start).hasChangedEvacuations);
    CHECK(state.evacuations().size() == 1);
    CHECK(state.evacuations().contains(DataCentreId("b")));
    // An item that was written after the read began is not ended by it.
    state.apply({"evacuate a", "{}", 30, false}, start);
    CHECK_FALSE(state.applyAll({{"evacuate b", "{}", 6, false}}, {0, 29}, start).hasChangedEvacuations);
    CHECK(state.evacuations().size() == 2);
}

TEST_CASE("a peer that missed the end of an evacuation does not start it again at an instance that has read the store")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({}, {0, 20}, start);
    CHECK_FALSE(state.applyEvacuation(DataCentreId("a"), {0, 5}, false, start).hasChangedEvacuations);
    CHECK(state.applyEvacuation(DataCentreId("a"), {0, 21}, false, start).hasChangedEvacuations);
}

TEST_CASE("an evacuation that an older copy of the store lacks holds on for five seconds and then ends")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"evacuate a", "{}", 90, false, 1}}, {1, 100}, start);
    CHECK_FALSE(state.applyAll({}, {2, 50}, start).hasChangedEvacuations);
    // Neither a second read nor a peer that repeats what it knows moves the end.
    state.applyAll({}, {2, 51}, start + Milliseconds(3000));
    state.applyEvacuation(DataCentreId("a"), {1, 90}, false, start + Milliseconds(4000));
    CHECK_FALSE(state.removeExpired(start + Milliseconds(4990)).hasChangedEvacuations);
    CHECK(state.evacuations().size() == 1);
    CHECK(state.removeExpired(start + Milliseconds(5010)).hasChangedEvacuations);
    CHECK(state.evacuations().empty());
    CHECK_FALSE(
        state.applyEvacuation(DataCentreId("a"), {1, 90}, false, start + Milliseconds(6000)).hasChangedEvacuations);
    CHECK(state.evacuations().empty());
}

TEST_CASE("an evacuation that is written again to an older copy of the store goes on without a gap")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"evacuate a", "{}", 90, false, 1}}, {1, 100}, start);
    state.applyAll({}, {2, 50}, start);
    CHECK_FALSE(state.apply({"evacuate a", "{}", 55, false, 2}, start + Milliseconds(4000)).hasChangedEvacuations);
    CHECK_FALSE(state.removeExpired(start + Milliseconds(20'000)).hasChangedEvacuations);
    CHECK(state.evacuations().size() == 1);
}

TEST_CASE("a deletion in an older copy of the store ends an evacuation at once")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({{"evacuate a", "{}", 90, false, 1}}, {1, 100}, start);
    state.applyAll({{"evacuate a", "{}", 40, false, 2}}, {2, 50}, start);
    CHECK_FALSE(state.removeExpired(start + Milliseconds(6000)).hasChangedEvacuations);
    CHECK(state.apply({"evacuate a", "", 51, true, 2}, start).hasChangedEvacuations);
}

TEST_CASE("an evacuation of an earlier era that a peer still knows ends five seconds after it was learnt")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({}, {2, 50}, start);
    CHECK(state.applyEvacuation(DataCentreId("a"), {1, 90}, false, start).hasChangedEvacuations);
    CHECK_FALSE(state.removeExpired(start + Milliseconds(4990)).hasChangedEvacuations);
    CHECK(state.removeExpired(start + Milliseconds(5010)).hasChangedEvacuations);
}

TEST_CASE(
    "an instance that cannot read the store learns the start and the end of an evacuation from the items of a peer")
{
    const FakeDecoder decoder;
    PublishedState one(decoder);
    PublishedState two(decoder);
    const auto copy = [&] {
        PublishedState::ChangeFlags flags;
        for (const StoreItem &item : one.items()) {
            flags.add(two.apply(item, start));
        }
        two.setComplete(one.position());
        return flags;
    };
    one.applyAll({{"evacuate a", "{}", 5, false}}, {0, 10}, start);
    CHECK(copy().hasChangedEvacuations);
    CHECK(two.evacuations().size() == 1);
    // The end is known from a full read only, without a deletion of its own.
    one.applyAll({}, {0, 20}, start);
    CHECK(copy().hasChangedEvacuations);
    CHECK(two.evacuations().empty());
}

TEST_CASE("a statement of a peer about one evacuation does not raise the position of the state")
{
    const FakeDecoder decoder;
    PublishedState state(decoder);
    state.applyAll({}, {0, 20}, start);
    CHECK(state.applyEvacuation(DataCentreId("a"), {0, 25}, false, start).hasChangedEvacuations);
    CHECK(state.position() == StorePosition{0, 20});
    CHECK(state.applyEvacuation(DataCentreId("a"), {0, 26}, true, start).hasChangedEvacuations);
    CHECK(state.position() == StorePosition{0, 20});
    REQUIRE(state.endedEvacuations().size() == 1);
    CHECK(state.endedEvacuations().front().position == StorePosition{0, 26});
}

TEST_CASE("a heartbeat that only counts the cold time of an upstream down is no change of upstreams")
{
    // Decodes the text as the remaining cold time.
    class ColdDecoder : public FakeDecoder
    {
    public:
        std::optional<catalogue::UpstreamEntry> decodeUpstream(const StoreItem &item) const override
        {
            catalogue::UpstreamEntry decoded;
            decoded.id = UpstreamId(item.key);
            decoded.coldRemaining = Milliseconds(std::stoi(item.bytes));
            return decoded;
        }
    };
    const ColdDecoder decoder;
    PublishedState state(decoder);
    const auto first = state.apply({"u", "3000", 1, false}, start);
    CHECK(first.hasChangedUpstreams);
    CHECK(first.hasColdUpstreams);
    CHECK(state.upstreams().at("u").coldUntil == start + Milliseconds(3000));
    const auto second = state.apply({"u", "1800", 2, false}, start + Milliseconds(1200));
    CHECK_FALSE(second.hasChangedUpstreams);
    CHECK(second.hasColdUpstreams);
    // The same entry, read again later, tells nothing new.
    const auto again = state.apply({"u", "1800", 2, false}, start + Milliseconds(2000));
    CHECK_FALSE(again.hasChangedUpstreams);
    CHECK_FALSE(again.hasColdUpstreams);
    CHECK(state.upstreams().at("u").coldUntil == start + Milliseconds(3000));
    const auto warm = state.apply({"u", "0", 3, false}, start + Milliseconds(3600));
    CHECK_FALSE(warm.hasChangedUpstreams);
    CHECK_FALSE(warm.hasColdUpstreams);
    const auto coldAgain = state.apply({"u", "900", 4, false}, start + Milliseconds(9000));
    CHECK_FALSE(coldAgain.hasChangedUpstreams);
    CHECK(coldAgain.hasColdUpstreams);
    CHECK(state.upstreams().at("u").coldUntil == start + Milliseconds(9900));
}
