// The entry instances of the published list that are not leaving.
#pragma once

#include "blackboard/types/publishedlist.h"

#include <algorithm>
#include <string>
#include <vector>

namespace magnolia
{

/** Returns their ids in ascending order. Key ownership relies on the same list giving the same result everywhere. */
[[nodiscard]] inline std::vector<std::string> activeEntries(const PublishedList &list)
{
    std::vector<std::string> entries;
    for (const PublishedInstance &instance : list.instances) {
        if (instance.role == InstanceRole::Entry && !instance.isLeaving) {
            entries.push_back(instance.id);
        }
    }
    std::sort(entries.begin(), entries.end());
    return entries;
}

} // namespace magnolia
