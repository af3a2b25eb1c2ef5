// Tests of the records by which instances tell each other of evacuations.
#include "fleet/extensioncodec.h"
#include "gateway/internal/evacuationrecord.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

class NoItemDecoder : public published::IItemDecoder
{
public:
    ItemKind kindOf(const std::string & /*key*/) const override
    {
        return ItemKind::Evacuation;
    }
    std::optional<catalogue::Catalogue> decodeConfiguration(const published::StoreItem & /*item*/) const override
    {
        return std::nullopt;
    }
    std::optional<catalogue::UpstreamEntry> decodeUpstream(const published::StoreItem & /*item*/) const override
    {
        return std::nullopt;
    }
    DataCentreId evacuatedDataCentre(const std::string &key) const override
    {
        return DataCentreId(key);
    }
    std::string evacuationKey(const DataCentreId &dataCentre) const override
    {
        return dataCentre.value();
    }
};

} // namespace

TEST_CASE("records of evacuations tell a peer what is in force and what has ended")
{
    const NoItemDecoder decoder;
    published::PublishedState one(decoder);
    one.apply({"a", "{}", 5, false, 2}, start);
    one.apply({"b", "{}", 6, false, 2}, start);
    one.apply({"b", "", 7, true, 2}, start);
    published::PublishedState two(decoder);
    two.apply({"b", "{}", 6, false, 2}, start);
    for (const fleet::ExtensionRecord &it : evacuationRecords(one)) {
        CHECK(it.tag == fleet::extensiontags::evacuation);
        const auto record = readEvacuationRecord(it);
        REQUIRE(record);
        two.applyEvacuation(DataCentreId(record->dataCentre), {record->era, record->revision}, record->isEnded, start);
    }
    CHECK(two.evacuations().size() == 1);
    CHECK(two.evacuations().at(DataCentreId("a")).position == published::StorePosition{2, 5});
}

TEST_CASE("a large number of ended evacuations does not crowd out those in force")
{
    const NoItemDecoder decoder;
    published::PublishedState state(decoder);
    for (std::uint64_t i = 0; i < 100; ++i) {
        state.apply({"ended-" + std::to_string(i), "", 10 + i, true}, start);
    }
    state.apply({"z", "{}", 200, false}, start);
    const auto records = evacuationRecords(state);
    REQUIRE(records.size() == maxEvacuationRecords);
    CHECK(readEvacuationRecord(records[0])->dataCentre == "z");
    // Of the ends the latest are told.
    CHECK(readEvacuationRecord(records[1])->dataCentre == "ended-99");
}

TEST_CASE("a record of an evacuation that names no data centre or is malformed is refused")
{
    CHECK_FALSE(readEvacuationRecord({fleet::extensiontags::evacuation, {}}));
    CHECK_FALSE(readEvacuationRecord({fleet::extensiontags::evacuation, "\x01\xff\xff\xff\xff\xff\xff\xff\xff"}));
    for (const std::string &name : {std::string(), std::string(257, 'x')}) {
        CHECK_FALSE(readEvacuationRecord(
            fleet::encodeRecord(fleet::extensiontags::evacuation, EvacuationRecord{name, 1, 1, false})));
    }
}

TEST_CASE("announcements of an evacuation do not grow with the square of the fleet")
{
    // Each instance that announces sends one datagram to each other one.
    for (const std::size_t instances : {6, 77, 330}) {
        const double datagramsPerInstance = announcementProbability(instances) * static_cast<double>(instances - 1);
        CHECK(datagramsPerInstance <= 8);
        CHECK(datagramsPerInstance >= 5);
    }
}
