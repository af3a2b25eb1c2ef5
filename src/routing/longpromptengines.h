// Determines how many and which engines take long prompts.
#pragma once

#include "blackboard/types/publishedinstance.h"
#include "routing/types/longpromptengines.h"

#include <span>
#include <string>
#include <vector>

namespace magnolia::routing
{

/** Input for the number of engines that take long prompts. */
struct LongPromptDemand
{
    /** Prompt tokens of long requests that arrive at all entries per second. */
    double longTokensPerSecond = 0;
    /** Prompt tokens of short requests that arrive at all entries per second. */
    double shortTokensPerSecond = 0;
    double prefillTokensPerSecond = 1;
    std::uint32_t engineCount = 0;
};

/**
 * Adjusts the number of engines to the demand: increases it at once, and decreases it by one after fewer engines have
 * been enough for ten seconds without interruption. The number is at least one. Engines that short prompts need are
 * released to them at once, and one is always left to them unless there is only one.
 */
void adjustLongPromptEngines(LongPromptEngines &state, const LongPromptDemand &demand, MonoTime now);

/**
 * Whether each of `upstreams` is among the first `count` in the rendezvous order of `target`. The sets of two entries
 * with different counts are nested, because both follow the same order.
 */
[[nodiscard]] std::vector<bool> rendezvousMembers(
    std::span<const PublishedInstance *const> upstreams, const std::string &target, std::uint32_t count);

} // namespace magnolia::routing
