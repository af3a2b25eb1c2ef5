// Checks a bearer key against the published key hashes of an organisation.
#pragma once

#include "blackboard/types/organisation.h"
#include "framework/global/error.h"

#include <string>

namespace magnolia::entry
{

/** Returns the SHA-256 digest of `text` in lower-case hex. */
[[nodiscard]] std::string sha256Hex(const std::string &text);

/** Returns RequestUnauthorised if the organisation has key hashes and `authorization` contains no matching key. */
[[nodiscard]] Result<void> checkBearerKey(const Organisation &organisation, const std::string &authorization);

} // namespace magnolia::entry
