// Search by playing.
#include "hindsight.h"

#include "framework/global/random.h"

#include <algorithm>

namespace magnolia::bench
{

namespace
{

constexpr int rounds = 40;
/** Of those that a round might refuse, so many are tried at once. */
constexpr double triedShare = 0.3;
/** Refusals that are taken back in a round, so that the search does not end at the first hill. */
constexpr double takenBackShare = 0.1;

struct Play
{
    std::vector<Outcome> outcomes;
    double earned = 0;
};

Play play(const Workload &workload, const std::vector<Arrival> &arrivals, std::uint64_t seed,
    const std::vector<bool> &refused)
{
    const auto experiment = Experiment::make(workload, "choice-full-knowledge", arrivals, seed);
    (*experiment)->refuse(refused);
    Play made;
    made.outcomes = (*experiment)->run();
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        made.earned += made.outcomes[i].earned(workload.classes[arrivals[i].promptClass]);
    }
    return made;
}

} // namespace

std::vector<Outcome> playInHindsight(const Workload &workload, const std::vector<Arrival> &arrivals, std::uint64_t seed)
{
    Random random(seed);
    std::vector<bool> refused(arrivals.size(), false);
    Play best = play(workload, arrivals, seed, refused);
    for (int round = 0; round < rounds; ++round) {
        std::vector<bool> tried = refused;
        for (std::size_t i = 0; i < arrivals.size(); ++i) {
            const PromptClass &promptClass = workload.classes[arrivals[i].promptClass];
            if (tried[i]) {
                tried[i] = !random.chance(takenBackShare);
            } else if (best.outcomes[i].earned(promptClass) < promptClass.worth) {
                tried[i] = random.chance(triedShare);
            }
        }
        Play next = play(workload, arrivals, seed, tried);
        if (next.earned > best.earned) {
            best = std::move(next);
            refused = std::move(tried);
        }
    }
    return best.outcomes;
}

} // namespace magnolia::bench
