// Tests of the codec of extension messages.
#include "fleet/extensioncodec.h"
#include "fleet/types/peermessage.h"
#include "fleet/types/probemessage.h"
#include "peerlink/binarycodec.h"

#include <catch2/catch.hpp>
#include <cereal/types/string.hpp>

using namespace magnolia;
using namespace magnolia::fleet;

namespace
{

ExtensionMessage makeExtension()
{
    ExtensionMessage message;
    message.instance = "gw-1";
    message.incarnation = 5;
    message.sequence = 9;
    message.capabilities = 3;
    message.records = {{1, "one"}, {2, ""}};
    return message;
}

struct RecordOfThisBuild
{
    std::string name;
    std::uint32_t remainingMs = 7;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, remainingMs);
    }
};

struct RecordOfLaterBuild
{
    std::string name;
    std::uint32_t remainingMs = 7;
    std::uint64_t added = 11;
    std::string addedText = "default";

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, remainingMs, added, addedText);
    }
};

} // namespace

TEST_CASE("an extension message is read as it was written")
{
    const ExtensionMessage written = makeExtension();
    const auto read = decodeExtension(encodeExtension(written));
    REQUIRE(read);
    CHECK(read->instance == written.instance);
    CHECK(read->incarnation == written.incarnation);
    CHECK(read->sequence == written.sequence);
    CHECK(read->minVersion == 1);
    CHECK(read->maxVersion == 1);
    CHECK(read->capabilities == written.capabilities);
    CHECK(read->records == written.records);
}

TEST_CASE("a build without extension messages ignores them")
{
    const std::string bytes = encodeExtension(makeExtension());
    REQUIRE(bytes.size() > 1);
    CHECK(static_cast<std::uint8_t>(bytes[1]) != PeerMessage::currentFormat);
    CHECK(static_cast<std::uint8_t>(bytes[1]) != ProbeMessage::currentFormat);
    const auto asPeerMessage = peerlink::decode<PeerMessage>(bytes);
    CHECK((!asPeerMessage || asPeerMessage->format != PeerMessage::currentFormat));
}

TEST_CASE("bytes after the known fields of an extension message are ignored")
{
    const auto read = decodeExtension(encodeExtension(makeExtension()) + "fields of a later build");
    REQUIRE(read);
    CHECK(read->records == makeExtension().records);
}

TEST_CASE("records with unknown tags are kept apart and do not hide known ones")
{
    ExtensionMessage message = makeExtension();
    message.records = {{4'000'000'000, std::string(1000, '\xff')}, {1, "one"}};
    const auto read = decodeExtension(encodeExtension(message));
    REQUIRE(read);
    REQUIRE(read->records.size() == 2);
    CHECK(read->records[1] == ExtensionRecord{1, "one"});
}

TEST_CASE("a record of a later build is read without its added fields, and one of an earlier build with defaults")
{
    const auto later = decodeRecord<RecordOfThisBuild>(encodeRecord(1, RecordOfLaterBuild{"a", 20, 21, "x"}));
    REQUIRE(later);
    CHECK(later->name == "a");
    CHECK(later->remainingMs == 20);
    const auto earlier = decodeRecord<RecordOfLaterBuild>(encodeRecord(1, RecordOfThisBuild{"b", 30}));
    REQUIRE(earlier);
    CHECK(earlier->name == "b");
    CHECK(earlier->remainingMs == 30);
    CHECK(earlier->added == 11);
    CHECK(earlier->addedText == "default");
    CHECK_FALSE(decodeRecord<RecordOfThisBuild>({1, ""}));
}

TEST_CASE("a record that ends within a field is rejected")
{
    ExtensionRecord record = encodeRecord(1, RecordOfThisBuild{"name", 30});
    record.bytes.pop_back();
    CHECK_FALSE(decodeRecord<RecordOfThisBuild>(record));
    // Ends within the name.
    record.bytes.resize(1 + sizeof(std::uint64_t) + 2);
    CHECK_FALSE(decodeRecord<RecordOfThisBuild>(record));
}

TEST_CASE("extension messages that are truncated, oversized or of unknown versions are rejected with their reason")
{
    const std::string bytes = encodeExtension(makeExtension());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        const auto read = decodeExtension(bytes.substr(0, n));
        REQUIRE_FALSE(read);
        CHECK(read.error() == RejectReason::Truncated);
    }
    std::string otherFormat = bytes;
    otherFormat[1] = '\x8d';
    CHECK(decodeExtension(otherFormat).error() == RejectReason::UnknownVersion);
    std::string otherOrder = bytes;
    otherOrder[0] = '\7';
    CHECK(decodeExtension(otherOrder).error() == RejectReason::Malformed);

    ExtensionMessage later = makeExtension();
    later.minVersion = 2;
    later.maxVersion = 3;
    CHECK(decodeExtension(encodeExtension(later)).error() == RejectReason::UnknownVersion);
    later.minVersion = 1;
    CHECK(decodeExtension(encodeExtension(later)));
    later.minVersion = 4;
    CHECK(decodeExtension(encodeExtension(later)).error() == RejectReason::Malformed);

    ExtensionMessage tooMany = makeExtension();
    tooMany.records.resize(ExtensionMessage::maxRecords + 1);
    CHECK(decodeExtension(encodeExtension(tooMany)).error() == RejectReason::Oversized);
    ExtensionMessage tooLong = makeExtension();
    tooLong.records = {{1, std::string(ExtensionMessage::maxBytes, 'x')}};
    CHECK(decodeExtension(encodeExtension(tooLong)).error() == RejectReason::Oversized);
}

TEST_CASE("many records are split over messages that keep the bounds of a datagram")
{
    ExtensionMessage header = makeExtension();
    header.records.clear();
    REQUIRE(splitIntoMessages(header, {}).size() == 1);
    std::vector<ExtensionRecord> records;
    for (std::uint32_t i = 0; i < 330; ++i) {
        records.push_back({1, std::string(i, 'x')});
    }
    records.push_back({2, std::string(maxRecordBytes(header.instance), 'y')});
    std::vector<ExtensionRecord> read;
    for (const ExtensionMessage &it : splitIntoMessages(header, records)) {
        const std::string bytes = encodeExtension(it);
        CHECK(bytes.size() <= ExtensionMessage::maxBytes);
        const auto message = decodeExtension(bytes);
        REQUIRE(message);
        CHECK(message->capabilities == header.capabilities);
        read.insert(read.end(), message->records.begin(), message->records.end());
    }
    CHECK(read == records);
    // A record that fits into no datagram must not keep back the others.
    records.insert(records.begin(), {2, std::string(maxRecordBytes(header.instance) + 1, 'y')});
    std::size_t count = 0;
    for (const ExtensionMessage &it : splitIntoMessages(header, records)) {
        count += it.records.size();
    }
    CHECK(count == records.size() - 1);
}
