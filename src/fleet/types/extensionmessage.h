// The datagram that tells peers what builds since its introduction know in addition.
//
// Builds that do not know its format ignore it. It may grow in later builds: fields are only appended, and a record is
// identified by its tag.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::fleet
{

/** A fact with a tag that tells which part of the instance understands it; see extensioncodec.h. */
struct ExtensionRecord
{
    std::uint32_t tag = 0;
    std::string bytes;

    friend bool operator==(const ExtensionRecord &, const ExtensionRecord &) = default;
};

/** Tags of the records that this build knows; the values are sent to other builds. */
namespace extensiontags
{
inline constexpr std::uint32_t coldUpstream = 1;
inline constexpr std::uint32_t evacuation = 2;
} // namespace extensiontags

struct ExtensionMessage
{
    /** Distinguishes this datagram from a PeerMessage and a ProbeMessage, which have their format at this position. */
    static constexpr std::uint8_t currentFormat = 140;
    /** Versions of the extension messages that this build reads. */
    static constexpr std::uint16_t ownMinVersion = 1;
    static constexpr std::uint16_t ownMaxVersion = 1;
    static constexpr std::size_t maxRecords = 64;
    static constexpr std::size_t maxBytes = std::size_t{60} * 1024;

    std::string instance;
    /** Start time of the sender in Unix milliseconds, as in its other messages. */
    std::uint64_t incarnation = 0;
    /** Counts the extension messages of the sender; other messages have a count of their own. */
    std::uint64_t sequence = 0;
    /** Versions that the sender reads. */
    std::uint16_t minVersion = ownMinVersion;
    std::uint16_t maxVersion = ownMaxVersion;
    /** Set of Capability bits; unknown bits are kept. */
    std::uint64_t capabilities = 0;
    std::vector<ExtensionRecord> records;
};

} // namespace magnolia::fleet
