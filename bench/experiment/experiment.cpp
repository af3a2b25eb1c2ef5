// Simulates callers that follow the published protocol, on modelled engines.
#include "experiment.h"

#include "policies.h"

#include "catalogue/callerbehaviour.h"
#include "placement/enginecost.h"

#include <algorithm>

namespace magnolia::bench
{

namespace
{

constexpr Milliseconds inactivityCheckInterval{100};
/** Rank of all classes. */
constexpr int commonRank = 0;
/** Base delay of the retry after an engine has refused a request. */
constexpr Milliseconds engineRefusalRetryDelay{300};

/** Returns the gap after which callers abandon a stream. */
Milliseconds inactivityTimeout(const PromptClass &it)
{
    return catalogue::streamPatience(it.firstEventTarget, it.gapTarget);
}

placement::UrgencyScale urgencyScale(const Workload &workload)
{
    placement::UrgencyScale scale;
    scale.ranks = {commonRank};
    for (const PromptClass &it : workload.classes) {
        scale.longestWait = std::max(scale.longestWait, std::min(it.deadline, inactivityTimeout(it)));
    }
    return scale;
}

double toMs(MonoTime::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

bool Outcome::isOnTime(const PromptClass &promptClass) const
{
    return isDone() && firstEventMs <= static_cast<double>(promptClass.firstEventTarget.count())
        && maxGapMs <= static_cast<double>(promptClass.gapTarget.count());
}

bool Outcome::hasLateFirstEvent(const PromptClass &promptClass) const
{
    return isDone() && firstEventMs > static_cast<double>(promptClass.firstEventTarget.count());
}

bool Outcome::hasLongGap(const PromptClass &promptClass) const
{
    return isDone() && maxGapMs > static_cast<double>(promptClass.gapTarget.count());
}

Result<std::unique_ptr<Experiment>> Experiment::make(
    const Workload &workload, const std::string &policy, const std::vector<Arrival> &arrivals, std::uint64_t seed)
{
    std::unique_ptr<Experiment> experiment(new Experiment(workload, arrivals, seed, bench::knowsOutputLength(policy)));
    experiment->m_policy = makePolicy(policy, workload, experiment->m_schedule, seed);
    if (!experiment->m_policy) {
        return makeError(ResultCode::SettingsInvalid, "policy: '" + policy + "' is unknown");
    }
    return experiment;
}

Experiment::Experiment(
    const Workload &workload, const std::vector<Arrival> &arrivals, std::uint64_t seed, bool knowsOutputLength)
    : m_workload(workload)
    , m_knowsOutputLength(knowsOutputLength)
    , m_schedule(seed)
    , m_arrivals(arrivals)
    , m_urgencyScale(urgencyScale(workload))
    , m_engines(workload.engine, workload.engineCount, *this)
    , m_outcomes(m_arrivals.size())
    , m_refusedArrivals(m_arrivals.size(), false)
{
    for (std::size_t i = 0; i < workload.engineCount; ++i) {
        m_engines.setSlowdown(i, engineSlowdown(workload, i));
    }
}

void Experiment::setRefusedArrivals(std::vector<bool> refused)
{
    m_refusedArrivals = std::move(refused);
    m_refusedArrivals.resize(m_arrivals.size(), false);
}

std::vector<Outcome> Experiment::run()
{
    Milliseconds maxDeadline{0};
    for (const PromptClass &it : m_workload.classes) {
        maxDeadline = std::max(maxDeadline, it.deadline);
    }
    for (std::size_t i = 0; i < m_arrivals.size(); ++i) {
        m_outcomes[i].arrival = &m_arrivals[i];
        m_schedule.at(m_arrivals[i].at, [this, i] {
            startAttempt(i);
        });
    }
    sampleIdle();
    const MonoTime lastArrivalAt = m_arrivals.empty() ? MonoTime{} : m_arrivals.back().at;
    m_schedule.runUntil(lastArrivalAt + 2 * maxDeadline);
    return m_outcomes;
}

double Experiment::busyShare() const
{
    double totalBusyMs = 0;
    for (std::size_t i = 0; i < m_workload.engineCount; ++i) {
        totalBusyMs += m_engines.busyMs(i);
    }
    const double durationMs = m_arrivals.empty() ? 1 : toMs(m_arrivals.back().at - m_arrivals.front().at);
    return totalBusyMs / (std::max(durationMs, 1.0) * static_cast<double>(m_workload.engineCount));
}

double Experiment::busiestOverMean(std::size_t promptClass) const
{
    double sum = 0;
    int seconds = 0;
    for (const auto &[key, counts] : m_sentCounts) {
        if (key.first != promptClass) {
            continue;
        }
        double total = 0;
        double busiest = 0;
        for (const auto &[engine, sent] : counts) {
            total += sent;
            busiest = std::max<double>(busiest, sent);
        }
        sum += busiest * static_cast<double>(counts.size()) / total;
        ++seconds;
    }
    return seconds == 0 ? 1 : sum / seconds;
}

double Experiment::idleBesideWaitingShare() const
{
    return m_samples == 0 ? 0 : static_cast<double>(m_idleSamples) / static_cast<double>(m_samples);
}

void Experiment::sampleIdle()
{
    bool hasIdle = false;
    bool hasWaiting = false;
    for (std::size_t i = 0; i < m_workload.engineCount; ++i) {
        const std::size_t requests = m_engines.requestCount(i);
        hasIdle |= requests == 0;
        hasWaiting |= requests > static_cast<std::size_t>(std::max(m_workload.engine.slots, 1));
    }
    ++m_samples;
    m_idleSamples += hasIdle && hasWaiting ? 1 : 0;
    constexpr Milliseconds sampleInterval{20};
    if (!m_arrivals.empty() && m_schedule.now() < m_arrivals.back().at) {
        m_schedule.after(sampleInterval, [this] {
            sampleIdle();
        });
    }
}

GapCause Experiment::gapCause(const Attempt &attempt, enginemodel::JobId job, MonoTime at) const
{
    const double slowdown = engineSlowdown(m_workload, attempt.engine - 1);
    if (placement::decodePassMs(m_workload.engine, 1, 0) * slowdown
        > static_cast<double>(classOf(attempt.arrivalIndex).gapTarget.count())) {
        return GapCause::SlowEngine;
    }
    const KnownPrefill *longest = nullptr;
    const auto prefills = m_prefills.find(attempt.engine);
    if (prefills == m_prefills.end()) {
        return GapCause::Unknown;
    }
    for (const KnownPrefill &it : prefills->second) {
        const bool overlaps = it.sentAt < at && (!it.endedAt || *it.endedAt > attempt.lastProgressAt);
        if (it.job != job && overlaps && (longest == nullptr || it.ms > longest->ms)) {
            longest = &it;
        }
    }
    if (longest == nullptr) {
        return GapCause::Unknown;
    }
    return longest->isHelper        ? GapCause::HelperPart
        : longest->promptClass == 0 ? GapCause::FirstClassPrompt
                                    : GapCause::OtherPrompt;
}

const std::vector<MonoTime> &Experiment::placementTimes(std::size_t engine)
{
    return m_placedAt[engine + 1];
}

const PromptClass &Experiment::classOf(std::size_t arrivalIndex) const
{
    return m_workload.classes[m_arrivals[arrivalIndex].promptClass];
}

double Experiment::msSinceArrival(std::size_t arrivalIndex, MonoTime at) const
{
    return toMs(at - m_arrivals[arrivalIndex].at);
}

double Experiment::remainingMs(std::size_t arrivalIndex) const
{
    return static_cast<double>(classOf(arrivalIndex).deadline.count()) - msSinceArrival(arrivalIndex, m_schedule.now());
}

void Experiment::startAttempt(std::size_t arrivalIndex)
{
    const Arrival &arrival = m_arrivals[arrivalIndex];
    const PromptClass &promptClass = classOf(arrivalIndex);
    Outcome &outcome = m_outcomes[arrivalIndex];
    const MonoTime now = m_schedule.now();
    // A retry goes to a random instance, not necessarily to the one that refused the request.
    const std::size_t instance = m_schedule.random().below(m_workload.instanceCount);
    ReceivedRequest request;
    placement::WorkEstimate &work = request.work;
    work.promptTokens = arrival.promptTokens;
    work.outputTokens = m_knowsOutputLength ? arrival.outputTokens : arrival.estimatedOutputTokens;
    work.decodeMs = work.outputTokens / std::max(m_workload.engine.stepsPerPass, 1)
        * placement::decodePassMs(m_workload.engine, m_workload.engine.slots / 2, work.promptTokens);
    request.time.untilDeadline = Milliseconds(static_cast<std::int64_t>(remainingMs(arrivalIndex)));
    request.time.patience = inactivityTimeout(promptClass);
    // The target of the placement restarts with each attempt; the outcome is measured from the arrival.
    request.targets = {promptClass.firstEventTarget, promptClass.gapTarget};
    ++outcome.attempts;
    if (m_refusedArrivals[arrivalIndex]) {
        ++outcome.refusals;
        outcome.isAbandoned = true;
        return;
    }
    const placement::Decision decision = m_policy->choose(instance, request, now);
    if (decision.verdict != placement::Verdict::Send) {
        ++outcome.refusals;
        // Callers who are told no time come back at once.
        scheduleRetry(arrivalIndex, decision.retryAfter.value_or(Milliseconds{0}));
        return;
    }
    const enginemodel::JobId id = m_nextJobId++;
    placement::Placement newPlacement;
    newPlacement.id = id;
    newPlacement.primary = decision.primary;
    newPlacement.helpers = decision.helpers;
    newPlacement.promptTokens = work.promptTokens;
    newPlacement.outputTokens = work.outputTokens;
    newPlacement.gapTarget = request.targets.gap;
    newPlacement.firstEventLimit = request.time.untilFirstEvent(work.decodeMs);
    newPlacement.placedAt = now;
    newPlacement.reservedTokensPerHelper = decision.reservedTokensPerHelper;
    m_attempts[id] = Attempt{arrivalIndex, instance, decision.primary, now, false, -1, 0, GapCause::None};
    m_placedAt[decision.primary].push_back(now);
    const double partMs = placement::prefillMs(m_workload.engine, arrival.promptTokens)
        / static_cast<double>(decision.helpers.size() + 1);
    m_prefills[decision.primary].push_back({id, arrival.promptClass, false, partMs, now, {}});
    for (const placement::UpstreamKey it : decision.helpers) {
        m_prefills[it].push_back({id, arrival.promptClass, true, partMs, now, {}});
    }
    ++m_sentCounts[{arrival.promptClass, std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count()}]
                  [decision.primary];
    m_policy->onPlaced(instance, newPlacement, now);
    enginemodel::ModelJob job;
    job.id = id;
    job.primary = decision.primary - 1;
    for (const placement::UpstreamKey it : decision.helpers) {
        job.helpers.push_back(it - 1);
    }
    job.promptTokens = arrival.promptTokens;
    job.outputTokens = arrival.outputTokens;
    job.reservedTokensPerHelper = decision.reservedTokensPerHelper;
    job.priority = placement::enginePriority(
        m_urgencyScale, commonRank, request.time.untilFirstEvent(work.decodeMs) - decision.predictedFirstEvent);
    m_schedule.after(inactivityCheckInterval, [this, id] {
        checkInactivity(id);
    });
    m_engines.submit(job, now);
    scheduleWakeUp();
}

void Experiment::scheduleRetry(std::size_t arrivalIndex, Milliseconds delay)
{
    Outcome &outcome = m_outcomes[arrivalIndex];
    if (outcome.attempts > classOf(arrivalIndex).maxRetries || remainingMs(arrivalIndex) <= 0) {
        outcome.isAbandoned = true;
        outcome.finalRefusalMs = msSinceArrival(arrivalIndex, m_schedule.now());
        return;
    }
    const double maxWaitMs = remainingMs(arrivalIndex) * catalogue::honouredRetryAfterShare;
    const double waitMs = std::min(maxWaitMs, static_cast<double>(delay.count()) * (1 + m_schedule.random().unit()));
    m_schedule.after(Milliseconds(static_cast<std::int64_t>(waitMs)), [this, arrivalIndex] {
        startAttempt(arrivalIndex);
    });
}

void Experiment::checkInactivity(enginemodel::JobId job)
{
    const auto it = m_attempts.find(job);
    if (it == m_attempts.end()) {
        return;
    }
    const std::size_t arrivalIndex = it->second.arrivalIndex;
    const bool isInactive = m_schedule.now() - it->second.lastProgressAt > inactivityTimeout(classOf(arrivalIndex));
    if (!isInactive && remainingMs(arrivalIndex) > 0) {
        m_schedule.after(inactivityCheckInterval, [this, job] {
            checkInactivity(job);
        });
        return;
    }
    m_outcomes[arrivalIndex].isAbandoned = true;
    endAttempt(job);
    m_engines.cancel(job, m_schedule.now());
    scheduleWakeUp();
}

void Experiment::onEvent(enginemodel::JobId job, MonoTime at)
{
    const auto it = m_attempts.find(job);
    if (it == m_attempts.end()) {
        return;
    }
    Attempt &attempt = it->second;
    if (!attempt.isDecoding) {
        attempt.isDecoding = true;
        attempt.firstEventMs = msSinceArrival(attempt.arrivalIndex, at);
        for (auto &[engine, prefills] : m_prefills) {
            for (KnownPrefill &prefill : prefills) {
                if (prefill.job == job) {
                    prefill.endedAt = at;
                }
            }
            constexpr std::chrono::seconds keptTime{3};
            std::erase_if(prefills, [&](const KnownPrefill &prefill) {
                return prefill.endedAt && at - *prefill.endedAt > keptTime;
            });
        }
        // The head of the answer comes with its first event.
        const double second = toMs(at - MonoTime{}) / 1000;
        m_policy->onLimit(attempt.instance, attempt.engine, limitAt(m_workload, attempt.engine - 1, second), at);
        m_policy->onFirstEvent(attempt.instance, job, at);
    } else {
        const double gapMs = toMs(at - attempt.lastProgressAt);
        if (gapMs > static_cast<double>(classOf(attempt.arrivalIndex).gapTarget.count())
            && attempt.gapCause == GapCause::None) {
            attempt.gapCause = gapCause(attempt, job, at);
        }
        attempt.maxGapMs = std::max(attempt.maxGapMs, gapMs);
    }
    attempt.lastProgressAt = at;
}

void Experiment::onDone(enginemodel::JobId job, MonoTime at)
{
    const auto it = m_attempts.find(job);
    if (it == m_attempts.end()) {
        return;
    }
    Outcome &outcome = m_outcomes[it->second.arrivalIndex];
    outcome.firstEventMs = it->second.firstEventMs;
    outcome.maxGapMs = it->second.maxGapMs;
    outcome.gapCause = it->second.gapCause;
    outcome.finishMs = msSinceArrival(it->second.arrivalIndex, at);
    endAttempt(job);
}

void Experiment::onRefused(enginemodel::JobId job, MonoTime /*at*/)
{
    const auto it = m_attempts.find(job);
    if (it == m_attempts.end()) {
        return;
    }
    const std::size_t arrivalIndex = it->second.arrivalIndex;
    ++m_outcomes[arrivalIndex].refusals;
    endAttempt(job);
    scheduleRetry(arrivalIndex, engineRefusalRetryDelay);
}

/** Workloads of policies have no crashes. */
void Experiment::onBroken(enginemodel::JobId job, enginemodel::EngineIndex /*crashed*/, MonoTime at)
{
    onRefused(job, at);
}

void Experiment::endAttempt(enginemodel::JobId job)
{
    const auto node = m_attempts.extract(job);
    if (node) {
        m_policy->onEnded(node.mapped().instance, job, m_schedule.now());
    }
}

void Experiment::scheduleWakeUp()
{
    const auto next = m_engines.nextPassEnd();
    if (!next || (m_scheduledWakeUp && *m_scheduledWakeUp <= *next)) {
        return;
    }
    m_scheduledWakeUp = *next;
    m_schedule.at(*next, [this, wakeUpAt = *next] {
        if (m_scheduledWakeUp != wakeUpAt) {
            return;
        }
        m_scheduledWakeUp.reset();
        m_engines.advanceTo(m_schedule.now());
        scheduleWakeUp();
    });
}

} // namespace magnolia::bench
