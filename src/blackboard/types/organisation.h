// An organisation whose callers are served.
#pragma once

#include "framework/global/types/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace magnolia
{

struct Organisation
{
    OrganisationId id;
    /** SHA-256 of each accepted bearer key in lower-case hex. Without a list no key is required; an empty one accepts
     * none. */
    std::optional<std::vector<std::string>> keyHashes;
};

} // namespace magnolia
