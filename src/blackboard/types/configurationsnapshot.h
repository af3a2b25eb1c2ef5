// The published configuration as stored by the platform: all keys at one revision, not yet validated.
#pragma once

#include "framework/global/types/ids.h"

#include <map>
#include <string>

namespace magnolia
{

struct ConfigurationSnapshot
{
    Revision revision;
    /** Values by key; a value is JSON with comments, at most 1 MB. */
    std::map<std::string, std::string> values;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(revision, values);
    }
};

} // namespace magnolia
