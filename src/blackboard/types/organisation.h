// An organisation whose callers are served.
#pragma once

#include "framework/global/types/ids.h"

#include <string>
#include <vector>

namespace magnolia
{

struct Organisation
{
    OrganisationId id;
    /** SHA-256 of each accepted bearer key in lower-case hex; if empty, no key is required. */
    std::vector<std::string> keyHashes;
};

} // namespace magnolia
