// Implements the choice of callers to disconnect.
#include "memory/stalledcallers.h"

#include <algorithm>

namespace magnolia::memory
{

std::vector<std::size_t> callersToDisconnect(const std::vector<CallerOutput> &callers, Bytes excess)
{
    std::vector<std::size_t> stalled;
    for (std::size_t i = 0; i < callers.size(); ++i) {
        if (callers[i].held.count() > 0 && callers[i].stalled > callers[i].waitLimit) {
            stalled.push_back(i);
        }
    }
    std::sort(stalled.begin(), stalled.end(), [&](std::size_t a, std::size_t b) {
        return callers[a].held != callers[b].held ? callers[a].held > callers[b].held : a < b;
    });
    Bytes freed;
    std::size_t count = 0;
    while (count < stalled.size() && freed < excess) {
        freed += callers[stalled[count]].held;
        ++count;
    }
    stalled.resize(count);
    return stalled;
}

} // namespace magnolia::memory
