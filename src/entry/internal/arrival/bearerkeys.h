// Checks an organisation's bearer key against its published hashes.
#pragma once

#include "blackboard/types/organisation.h"
#include "framework/global/error.h"

#include <string>

namespace magnolia::entry
{

/** SHA-256 of `text` in lower-case hex. */
[[nodiscard]] std::string sha256Hex(const std::string &text);

/** Errors: RequestUnauthorised where the organisation has key hashes and `authorization` carries no matching key. */
[[nodiscard]] Result<void> checkBearerKey(const Organisation &organisation, const std::string &authorization);

} // namespace magnolia::entry
