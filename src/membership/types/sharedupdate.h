// A shared value in a message.
#pragma once

#include "membership/types/sharedvalue.h"

#include <string>

namespace magnolia::membership
{

struct SharedUpdate
{
    std::string key;
    SharedValue value;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, value);
    }
};

} // namespace magnolia::membership
