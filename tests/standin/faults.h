// Faults that a test can switch on and off while a stand-in runs.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <cstdint>

namespace magnolia::standin
{

/** Each member is a setting of `POST /control`. All faults are off by default. */
struct Faults
{
    static constexpr std::int64_t noTruncation = -1;

    std::atomic<bool> isFrozen{false};
    std::atomic<bool> isDown{false};
    std::atomic<bool> isStale{false};
    std::atomic<bool> isLeaving{false};
    std::atomic<bool> refusesConnections{false};
    std::atomic<bool> dropsAfterRequest{false};
    std::atomic<bool> crossesAnswers{false};
    std::atomic<bool> repeatsEvents{false};
    std::atomic<std::int64_t> truncateAfterTokens{noTruncation};
    std::atomic<std::int64_t> answerDelayMs{0};
    // Engine speeds, set in the same way although they are not faults.
    std::atomic<std::int64_t> tokenIntervalMs{20};
    std::atomic<std::int64_t> prefillTokensPerSecond{100'000};
};

/** Sets the members named in `control` and leaves the others unchanged. Throws if a value has the wrong type. */
void applyControl(Faults &faults, const nlohmann::json &control);

} // namespace magnolia::standin
