// The engines that take long prompts: which they are, and how many.
#pragma once

#include "blackboard/types/publishedinstance.h"
#include "routing/types/longpromptengines.h"

#include <span>
#include <string>
#include <vector>

namespace magnolia::routing
{

/** What the number of engines for long prompts follows from. */
struct LongPromptDemand
{
    /** Prompt tokens of long requests that arrive at all entries, a second. */
    double longTokensPerSecond = 0;
    /** Prompt tokens of other requests that arrive at all entries, a second. */
    double shortTokensPerSecond = 0;
    double prefillTokensPerSecond = 1;
    std::uint32_t engineCount = 0;
};

/**
 * Moves the number of engines towards the demand: up at once, down by one engine after the smaller number has been
 * enough for ten seconds without a break. At least one engine; the engines that the other prompts need are left to
 * them at once, and one in any case.
 */
void adjustLongPromptEngines(LongPromptEngines &state, const LongPromptDemand &demand, MonoTime now);

/**
 * Whether each of `upstreams` takes long prompts. The sets of two entries that disagree on the number are nested,
 * because both follow the same rendezvous order.
 */
[[nodiscard]] std::vector<bool> rendezvousMembers(
    std::span<const PublishedInstance *const> upstreams, const std::string &target, std::uint32_t count);

} // namespace magnolia::routing
