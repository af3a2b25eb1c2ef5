// Applies a control document to the faults.
#include "standin/faults.h"

#include <nlohmann/json.hpp>

#include <string>

namespace magnolia::standin
{

namespace
{

template <typename T>
void applySetting(const nlohmann::json &control, const std::string &name, std::atomic<T> &target)
{
    const auto it = control.find(name);
    if (it != control.end()) {
        target = it->get<T>();
    }
}

} // namespace

void applyControl(Faults &faults, const nlohmann::json &control)
{
    applySetting(control, "freeze", faults.isFrozen);
    applySetting(control, "down", faults.isDown);
    applySetting(control, "stale", faults.isStale);
    applySetting(control, "leaving", faults.isLeaving);
    applySetting(control, "refuse_connections", faults.refusesConnections);
    applySetting(control, "drop_after_request", faults.dropsAfterRequest);
    applySetting(control, "cross_answers", faults.crossesAnswers);
    applySetting(control, "repeat_events", faults.repeatsEvents);
    applySetting(control, "truncate_after_tokens", faults.truncateAfterTokens);
    applySetting(control, "delay_answer_ms", faults.answerDelayMs);
    applySetting(control, "token_interval_ms", faults.tokenIntervalMs);
    applySetting(control, "prefill_tokens_per_s", faults.prefillTokensPerSecond);
}

} // namespace magnolia::standin
