// Parsing and validation of a published configuration.
#pragma once

#include "blackboard/types/configuration.h"
#include "blackboard/types/configurationsnapshot.h"
#include "settings/types/checkfailure.h"

namespace magnolia::configuration
{

/**
 * Parses and validates all keys. A failure has the code ConfigurationInvalid and lists every problem, with paths such
 * as `classes[2].finish_ms`. Never throws: any text results in a value or a failure.
 */
[[nodiscard]] settings::Checked<Configuration> parseConfiguration(const ConfigurationSnapshot &snapshot);

} // namespace magnolia::configuration
