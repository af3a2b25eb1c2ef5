// Implements the model of callers.
#include "restartcallers.h"

#include "gateway/internal/startupadmission.h"
#include "limits/backoff.h"

#include <algorithm>

namespace magnolia::gateway::tests
{

namespace
{

constexpr Milliseconds maxUnread{1000};
constexpr int tries = 2;

struct Outcome
{
    bool isServed = false;
    /** Time at which the caller comes back. */
    Milliseconds backAt{0};
};

/** One try that reaches an instance at the time `at`, with `remaining` time left. */
Outcome tryInstance(Milliseconds at, Milliseconds remaining, Milliseconds readyAt, CallerRule rule, Random &random)
{
    const Milliseconds readAt = std::max(at, std::min(startupUnreadTime, readyAt));
    const Milliseconds patience = std::min(maxUnread, remaining / 3);
    if (readAt - at > patience) {
        return {false, at + patience};
    }
    if (readyAt <= readAt) {
        return {readAt - at < remaining, {}};
    }
    Milliseconds refusedAt = readAt;
    Milliseconds retryAfter{0};
    if (rule == CallerRule::Previous) {
        retryAfter = limits::jitteredRetryAfter(Milliseconds(300), random);
    } else {
        StartupRequest request;
        request.deadline = remaining;
        request.unreadTime = readAt - at;
        request.maxHeldSize = Bytes{1};
        request.sinceStart = readAt;
        StartupDecision decision = decideAtStartup(request, random);
        if (decision.action == StartupAction::Hold) {
            refusedAt = readAt + decision.time;
            if (readyAt <= refusedAt) {
                return {readyAt - at < remaining, {}};
            }
            request.sinceRead = decision.time;
            request.sinceStart = refusedAt;
            decision = decideAtStartup(request, random);
        }
        retryAfter = decision.time;
    }
    const Milliseconds left = std::max(Milliseconds(0), remaining - (refusedAt - at));
    return {false, refusedAt + std::min(retryAfter, left / 3)};
}

} // namespace

std::size_t countServed(const CallerLoad &load, const std::vector<Milliseconds> &readyAt, CallerRule rule)
{
    Random random(load.seed);
    std::size_t served = 0;
    for (std::size_t i = 0; i < load.callers; ++i) {
        const auto arrivedAt
            = Milliseconds(static_cast<std::int64_t>(i) * load.time.count() / static_cast<std::int64_t>(load.callers));
        const Milliseconds deadline = load.deadlines[i % load.deadlines.size()];
        Milliseconds at = arrivedAt;
        for (int n = 0; n < tries; ++n) {
            const Milliseconds remaining = deadline - (at - arrivedAt);
            const Outcome outcome = tryInstance(at, remaining, readyAt[random.below(readyAt.size())], rule, random);
            if (outcome.isServed) {
                ++served;
                break;
            }
            at = outcome.backAt;
        }
    }
    return served;
}

} // namespace magnolia::gateway::tests
