// The record by which instances tell each other which upstreams are cold and which instances have become silent.
#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::gateway
{

/** A cold run of an upstream, by evidence of the sender itself. */
struct ColdUpstreamRecord
{
    std::uint64_t upstream = 0;
    /** Start time of the run in Unix milliseconds. */
    std::uint64_t startedAt = 0;
    std::uint32_t remainingMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(upstream, startedAt, remainingMs);
    }
};

/** An instance that has become silent without having announced its end. */
struct SilentInstanceRecord
{
    std::string instance;
    /** Time since the sender, or one that told it, heard the instance. */
    std::uint32_t ageMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, ageMs);
    }
};

struct ColdRecord
{
    std::vector<ColdUpstreamRecord> upstreams;
    std::vector<SilentInstanceRecord> silentInstances;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(upstreams, silentInstances);
    }
};

/** Encodes a record; of more entries than fit into a datagram beside other records, the first ones. */
[[nodiscard]] std::string encodeColdRecord(ColdRecord record);

/** Decodes a record and ignores what a later build has added after its fields. Empty if it is malformed. */
[[nodiscard]] std::optional<ColdRecord> decodeColdRecord(std::string_view bytes);

} // namespace magnolia::gateway
