// Parses the platform's JSON answers.
#pragma once

#include "blackboard/types/configurationsnapshot.h"
#include "blackboard/types/publishedlist.h"
#include "framework/global/error.h"
#include "settings/types/problem.h"

#include <string_view>
#include <vector>

namespace magnolia::ports
{

/** Parses a configuration snapshot. Error: PlatformMalformed with all problems. */
[[nodiscard]] Result<ConfigurationSnapshot> parseConfigurationAnswer(std::string_view body);

/** A list and the problems of its rejected rows, so that one malformed row does not hide all others. */
struct ListAnswer
{
    PublishedList list;
    std::vector<settings::Problem> rejectedRows;
};

/** Parses the list of instances. Error: PlatformMalformed if the list itself is malformed. */
[[nodiscard]] Result<ListAnswer> parseListAnswer(std::string_view body);

} // namespace magnolia::ports
