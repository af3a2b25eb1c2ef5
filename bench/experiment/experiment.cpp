// Callers that behave as the published protocol says, before modelled engines.
#include "experiment.h"

#include "policies.h"

#include <algorithm>

namespace magnolia::bench
{

namespace
{

/** Callers leave a stream after a gap of two seconds, four times its target or eight times that of its pauses. */
constexpr Milliseconds leastPatience{2000};
constexpr Milliseconds patienceCheck{100};
/** Callers wait as they are told, up to this share of the time they have left. */
constexpr double longestReturnShare = 1.0 / 3;
/** A caller that was refused by an engine comes back after about as long. */
constexpr Milliseconds usualReturn{300};

Milliseconds patienceOf(const PromptClass &it)
{
    return std::max({leastPatience, 4 * it.target, 8 * it.gapTarget});
}

double toMs(MonoTime::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

bool Outcome::isOnTime(const PromptClass &promptClass) const
{
    return isDone() && firstMs <= static_cast<double>(promptClass.target.count())
        && longestGapMs <= static_cast<double>(promptClass.gapTarget.count());
}

double Outcome::earned(const PromptClass &promptClass) const
{
    return !isDone() ? 0 : isOnTime(promptClass) ? promptClass.worth : promptClass.lateWorth;
}

Result<std::unique_ptr<Experiment>> Experiment::make(
    const Workload &workload, const std::string &policy, const std::vector<Arrival> &arrivals, std::uint64_t seed)
{
    std::unique_ptr<Experiment> made(new Experiment(workload, arrivals, seed, bench::knowsOutput(policy)));
    made->m_policy = makePolicy(policy, workload, made->m_schedule, seed);
    if (!made->m_policy) {
        return makeError(ResultCode::SettingsInvalid, "policy: '" + policy + "' is not known");
    }
    return made;
}

Experiment::Experiment(
    const Workload &workload, const std::vector<Arrival> &arrivals, std::uint64_t seed, bool knowsOutput)
    : m_workload(workload)
    , m_knowsOutput(knowsOutput)
    , m_schedule(seed)
    , m_arrivals(arrivals)
    , m_engines(workload.engine, workload.engines, *this)
    , m_outcomes(m_arrivals.size())
    , m_refused(m_arrivals.size(), false)
{
}

void Experiment::refuse(std::vector<bool> arrivals)
{
    m_refused = std::move(arrivals);
    m_refused.resize(m_arrivals.size(), false);
}

std::vector<Outcome> Experiment::run()
{
    Milliseconds longest{0};
    for (const PromptClass &it : m_workload.classes) {
        longest = std::max(longest, it.deadline);
    }
    for (std::size_t i = 0; i < m_arrivals.size(); ++i) {
        m_outcomes[i].arrival = &m_arrivals[i];
        m_schedule.at(m_arrivals[i].at, [this, i] {
            arrive(i);
        });
    }
    const MonoTime last = m_arrivals.empty() ? MonoTime{} : m_arrivals.back().at;
    m_schedule.runUntil(last + 2 * longest);
    return m_outcomes;
}

double Experiment::busyShare() const
{
    double busy = 0;
    for (std::size_t i = 0; i < m_workload.engines; ++i) {
        busy += m_engines.busyMs(i);
    }
    const double ms = m_arrivals.empty() ? 1 : toMs(m_arrivals.back().at - m_arrivals.front().at);
    return busy / (std::max(ms, 1.0) * static_cast<double>(m_workload.engines));
}

const PromptClass &Experiment::classOf(std::size_t number) const
{
    return m_workload.classes[m_arrivals[number].promptClass];
}

double Experiment::sinceArrival(std::size_t number, MonoTime at) const
{
    return toMs(at - m_arrivals[number].at);
}

double Experiment::leftMs(std::size_t number) const
{
    return static_cast<double>(classOf(number).deadline.count()) - sinceArrival(number, m_schedule.now());
}

void Experiment::arrive(std::size_t number)
{
    const Arrival &arrival = m_arrivals[number];
    const PromptClass &promptClass = classOf(number);
    Outcome &outcome = m_outcomes[number];
    const MonoTime now = m_schedule.now();
    // A caller that comes back asks any instance.
    const std::size_t instance = m_schedule.random().below(m_workload.instances);
    placement::WorkEstimate work;
    work.promptTokens = arrival.promptTokens;
    work.outputTokens = m_knowsOutput ? arrival.outputTokens : arrival.estimatedTokens;
    // Each attempt has its own target; the caller counts from the first.
    work.targetLeft = promptClass.target;
    work.timeLeft = std::min(patienceOf(promptClass), Milliseconds(static_cast<std::int64_t>(leftMs(number))));
    work.isAlreadyLate = outcome.attempts > 0;
    work.gapTarget = promptClass.gapTarget;
    ++outcome.attempts;
    if (m_refused[number]) {
        ++outcome.refusals;
        outcome.isGivenUp = true;
        return;
    }
    const placement::Decision decision = m_policy->choose(instance, work, now);
    if (decision.verdict != placement::Verdict::Send) {
        ++outcome.refusals;
        comeBack(number, decision.retryAfter);
        return;
    }
    const enginemodel::JobId id = m_nextJob++;
    placement::Placement placed;
    placed.id = id;
    placed.primary = decision.primary;
    placed.helpers = decision.helpers;
    placed.promptTokens = work.promptTokens;
    placed.outputTokens = work.outputTokens;
    placed.gapTarget = work.gapTarget;
    placed.firstEventTarget = work.targetLeft;
    placed.placedAt = now;
    placed.isLate = work.isAlreadyLate;
    placed.reservedTokensPerHelper = decision.reservedTokensPerHelper;
    m_attempts[id] = Attempt{number, instance, now, false, -1, 0};
    m_policy->onPlaced(instance, placed, now);
    enginemodel::ModelJob job;
    job.id = id;
    job.primary = decision.primary - 1;
    for (const placement::UpstreamKey it : decision.helpers) {
        job.helpers.push_back(it - 1);
    }
    job.promptTokens = arrival.promptTokens;
    job.outputTokens = arrival.outputTokens;
    job.reservedTokensPerHelper = decision.reservedTokensPerHelper;
    constexpr int latePriority = 9;
    constexpr int usualPriority = 5;
    job.priority = work.isAlreadyLate ? latePriority : usualPriority;
    m_schedule.after(patienceCheck, [this, id] {
        checkPatience(id);
    });
    m_engines.submit(job, now);
    wakeAtNextPass();
}

void Experiment::comeBack(std::size_t number, Milliseconds after)
{
    Outcome &outcome = m_outcomes[number];
    if (outcome.attempts > classOf(number).retries || leftMs(number) <= 0) {
        outcome.isGivenUp = true;
        return;
    }
    const double most = leftMs(number) * longestReturnShare;
    const double wait = std::min(most, static_cast<double>(after.count()) * (1 + m_schedule.random().unit()));
    m_schedule.after(Milliseconds(static_cast<std::int64_t>(wait)), [this, number] {
        arrive(number);
    });
}

void Experiment::checkPatience(enginemodel::JobId job)
{
    const auto it = m_attempts.find(job);
    if (it == m_attempts.end()) {
        return;
    }
    const std::size_t number = it->second.number;
    const bool isImpatient = m_schedule.now() - it->second.progressAt > patienceOf(classOf(number));
    if (!isImpatient && leftMs(number) > 0) {
        m_schedule.after(patienceCheck, [this, job] {
            checkPatience(job);
        });
        return;
    }
    m_outcomes[number].isGivenUp = true;
    end(job);
    m_engines.cancel(job, m_schedule.now());
    wakeAtNextPass();
}

void Experiment::onEvent(enginemodel::JobId job, MonoTime at)
{
    const auto it = m_attempts.find(job);
    if (it == m_attempts.end()) {
        return;
    }
    Attempt &attempt = it->second;
    if (!attempt.isWriting) {
        attempt.isWriting = true;
        attempt.firstMs = sinceArrival(attempt.number, at);
        m_policy->onWriting(attempt.instance, job, at);
    } else {
        attempt.longestGapMs = std::max(attempt.longestGapMs, toMs(at - attempt.progressAt));
    }
    attempt.progressAt = at;
}

void Experiment::onDone(enginemodel::JobId job, MonoTime at)
{
    const auto it = m_attempts.find(job);
    if (it == m_attempts.end()) {
        return;
    }
    Outcome &outcome = m_outcomes[it->second.number];
    outcome.firstMs = it->second.firstMs;
    outcome.longestGapMs = it->second.longestGapMs;
    outcome.doneMs = sinceArrival(it->second.number, at);
    end(job);
}

void Experiment::onRefused(enginemodel::JobId job, MonoTime /*at*/)
{
    const auto it = m_attempts.find(job);
    if (it == m_attempts.end()) {
        return;
    }
    const std::size_t number = it->second.number;
    ++m_outcomes[number].refusals;
    end(job);
    comeBack(number, usualReturn);
}

void Experiment::end(enginemodel::JobId job)
{
    const auto node = m_attempts.extract(job);
    if (node) {
        m_policy->onEnded(node.mapped().instance, job, m_schedule.now());
    }
}

void Experiment::wakeAtNextPass()
{
    const auto next = m_engines.nextPassEnd();
    if (!next || (m_wokenAt && *m_wokenAt <= *next)) {
        return;
    }
    m_wokenAt = *next;
    m_schedule.at(*next, [this, at = *next] {
        if (m_wokenAt != at) {
            return;
        }
        m_wokenAt.reset();
        m_engines.advanceTo(m_schedule.now());
        wakeAtNextPass();
    });
}

} // namespace magnolia::bench
