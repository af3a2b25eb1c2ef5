// Change of the value of one key between a base snapshot and its successor.
#pragma once

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace magnolia::configuration
{

/** The new value is the first `prefixBytes` of the base value, then `middle`, then the last `suffixBytes` of it. */
struct ValueEdit
{
    std::string key;
    bool isRemoval = false;
    std::uint64_t prefixBytes = 0;
    std::uint64_t suffixBytes = 0;
    std::string middle;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, isRemoval, prefixBytes, suffixBytes, middle);
    }
};

} // namespace magnolia::configuration
