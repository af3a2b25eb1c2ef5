// The platform's answers from JSON to typed values.
#pragma once

#include "blackboard/types/configurationsnapshot.h"
#include "blackboard/types/publishedlist.h"
#include "framework/global/error.h"
#include "settings/types/problem.h"

#include <string_view>
#include <vector>

namespace magnolia::ports
{

/** Error: PlatformMalformed, naming every problem. */
[[nodiscard]] Result<ConfigurationSnapshot> parseConfigurationAnswer(std::string_view body);

/** A list and the rows that were left out of it, so that one malformed row does not hide all others. */
struct ListAnswer
{
    PublishedList list;
    std::vector<settings::Problem> refusedRows;
};

/** Error: PlatformMalformed where the list itself cannot be read. */
[[nodiscard]] Result<ListAnswer> parseListAnswer(std::string_view body);

} // namespace magnolia::ports
