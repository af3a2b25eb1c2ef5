// Comparison of two versions of the platform's instance list.
#pragma once

#include "blackboard/types/publishedlist.h"

namespace magnolia::configuration
{

/** Whether `fresh` replaces `current`: it has a higher revision, or the same one and was generated later. */
[[nodiscard]] bool isFresher(const PublishedList &fresh, const PublishedList &current);

} // namespace magnolia::configuration
