// A small value that is replicated to all members in its highest version, such as the latest configuration revision.
#pragma once

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace magnolia::membership
{

struct SharedValue
{
    std::uint64_t version = 0;
    /** At most MembershipParameters::maxSharedValueBytes. */
    std::string value;

    friend bool operator==(const SharedValue &, const SharedValue &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, value);
    }
};

} // namespace magnolia::membership
