// Local search that simulates each candidate set of refusals.
#include "hindsight.h"

#include "framework/global/random.h"

#include <algorithm>
#include <tuple>

namespace magnolia::bench
{

namespace
{

constexpr int searchRounds = 40;
/** Probability with which a round refuses an arrival that was not served, or late. */
constexpr double newRefusalProbability = 0.3;
/** Probability with which a round revokes a refusal, so that the search can leave a local optimum. */
constexpr double revokeProbability = 0.1;

struct Run
{
    std::vector<Outcome> outcomes;
    std::size_t served = 0;
    std::size_t onTime = 0;
};

Run runOnce(const Workload &workload, const std::vector<Arrival> &arrivals, std::uint64_t seed,
    const std::vector<bool> &refused)
{
    const auto experiment = Experiment::make(workload, "choice-full-knowledge", arrivals, seed);
    (*experiment)->setRefusedArrivals(refused);
    Run run;
    run.outcomes = (*experiment)->run();
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        run.served += run.outcomes[i].isDone() ? 1 : 0;
        run.onTime += run.outcomes[i].isOnTime(workload.classes[arrivals[i].promptClass]) ? 1 : 0;
    }
    return run;
}

} // namespace

std::vector<Outcome> runInHindsight(const Workload &workload, const std::vector<Arrival> &arrivals, std::uint64_t seed)
{
    Random random(seed);
    std::vector<bool> refused(arrivals.size(), false);
    Run best = runOnce(workload, arrivals, seed, refused);
    for (int round = 0; round < searchRounds; ++round) {
        std::vector<bool> candidate = refused;
        for (std::size_t i = 0; i < arrivals.size(); ++i) {
            const PromptClass &promptClass = workload.classes[arrivals[i].promptClass];
            if (candidate[i]) {
                candidate[i] = !random.chance(revokeProbability);
            } else if (!best.outcomes[i].isOnTime(promptClass)) {
                candidate[i] = random.chance(newRefusalProbability);
            }
        }
        Run next = runOnce(workload, arrivals, seed, candidate);
        if (std::tie(next.served, next.onTime) > std::tie(best.served, best.onTime)) {
            best = std::move(next);
            refused = std::move(candidate);
        }
    }
    return best.outcomes;
}

} // namespace magnolia::bench
