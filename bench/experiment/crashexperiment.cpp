// Implements the simulation of crashing prompts.
#include "crashexperiment.h"

#include <algorithm>
#include <cmath>

namespace magnolia::bench
{

namespace
{

using quarantine::Fingerprint;

/** Published time from the crash that shows a part until the instances have to know it. */
constexpr Milliseconds contactTime{3000};
constexpr std::size_t crashesToShow = 5;
constexpr Milliseconds settleTime{50};
constexpr double minBeginningShare = 0.4;
constexpr Milliseconds maxBeginningTime{500};
constexpr int maxAttempts = 2;
constexpr std::size_t minCrashesOfRequest = 2;
constexpr Milliseconds callerRetryDelay{30};
/** Bytes of a datagram with headers, and of one report, success or entry in it. */
constexpr std::size_t datagramBytes = 150;
constexpr std::size_t reportBytes = 90;
constexpr std::size_t successBytes = 8;
constexpr std::size_t entryBytes = 70;

constexpr std::uint64_t crashingPart = 1;
constexpr std::uint64_t firstSharedPart = 1000;
constexpr std::uint64_t firstOwnPart = 1'000'000;
constexpr std::uint64_t firstRequest = 1'000'000'000;
constexpr std::uint64_t organisation = 500;

catalogue::EngineModel engineModel()
{
    catalogue::EngineModel model;
    model.slots = 16;
    model.kvCapacityTokens = 405'000;
    model.stepsPerPass = 34;
    model.stepMs = 1.31;
    model.decodeStepMsPerRequest = 0.000917;
    model.decodeStepMsPerThousandTokens = 0.00213;
    model.prefillTokensPerMs = 154;
    model.attentionMsPerMillionPairs = 0.162;
    model.chunkTokens = 2048;
    return model;
}

bool isBeginning(MonoTime sentAt, double predictedMs, const std::optional<MonoTime> &firstEventAt, MonoTime now)
{
    if (firstEventAt) {
        return now - *firstEventAt < maxBeginningTime;
    }
    return std::chrono::duration<double, std::milli>(now - sentAt).count() >= minBeginningShare * predictedMs;
}

} // namespace

CrashExperiment::CrashExperiment(const CrashScenario &scenario, std::uint64_t seed)
    : m_scenario(scenario)
    , m_schedule(seed)
    , m_engines(engineModel(), scenario.engines, *this)
    , m_tables(scenario.instances)
    , m_runs(scenario.engines, 1)
    , m_isRestartScheduled(scenario.engines, false)
{
}

CrashResult CrashExperiment::run()
{
    m_schedule.runUntil(MonoTime{std::chrono::hours(1)});
    const MonoTime start = m_schedule.now();
    scheduleArrivals(false);
    m_schedule.at(start + m_scenario.crashingFrom, [this] {
        scheduleArrivals(true);
    });
    if (m_scenario.outages.meanInterval > Milliseconds{0}) {
        scheduleOutage();
    }
    if (m_scenario.allKilledAt > Milliseconds{0}) {
        m_schedule.at(start + m_scenario.allKilledAt, [this] {
            m_tables.assign(m_scenario.instances, quarantine::QuarantineTable());
            m_fifthCrashAt.reset();
            m_result.crashCount = 0;
        });
    }
    for (std::size_t i = 0; i < m_scenario.instances; ++i) {
        m_schedule.after(
            Milliseconds(m_schedule.random().below(static_cast<std::uint64_t>(m_scenario.heartbeatInterval.count()))),
            [this, i] {
                sendFullStates(i);
            });
    }
    m_schedule.runUntil(start + m_scenario.duration);
    const double seconds = std::chrono::duration<double>(m_scenario.duration - m_scenario.crashingFrom).count();
    m_result.bytesPerInstanceSecond = m_bytes / seconds / static_cast<double>(m_scenario.instances);
    return m_result;
}

bool CrashExperiment::isCut(std::size_t a, std::size_t b) const
{
    const MonoTime start{std::chrono::hours(1)};
    const MonoTime now = m_schedule.now();
    const bool isActive = m_scenario.cutTime > Milliseconds{0} && now >= start + m_scenario.cutFrom
        && now < start + m_scenario.cutFrom + m_scenario.cutTime;
    return isActive && a % 2 != b % 2;
}

void CrashExperiment::scheduleArrivals(bool isCrashing)
{
    const double rate = isCrashing ? m_scenario.crashingPerSecond : m_scenario.soundPerSecond;
    if (rate <= 0) {
        return;
    }
    constexpr double millisecondsPerSecond = 1000;
    const double delayMs = m_schedule.random().exponential(millisecondsPerSecond / rate);
    m_schedule.after(
        std::chrono::microseconds(static_cast<std::int64_t>(delayMs * millisecondsPerSecond)), [this, isCrashing] {
            addPrompt(isCrashing);
            scheduleArrivals(isCrashing);
        });
}

void CrashExperiment::addPrompt(bool isCrashing)
{
    Random &random = m_schedule.random();
    Prompt prompt;
    prompt.isCrashing = isCrashing;
    // The square makes the first parts the most popular ones.
    const double popularity = random.unit();
    const auto part = static_cast<std::uint64_t>(popularity * popularity * static_cast<double>(m_scenario.partCount));
    prompt.traits.suspects.push_back(Fingerprint{firstSharedPart + part});
    if (isCrashing) {
        prompt.traits.suspects.push_back(Fingerprint{crashingPart});
    }
    prompt.traits.context = {Fingerprint{organisation}, Fingerprint{firstOwnPart + m_nextId}};
    prompt.traits.suspects.push_back(Fingerprint{firstRequest + m_nextId++});
    normalise(prompt.traits);
    // One in forty is a long prompt, which is prefilled for up to two seconds.
    constexpr double longShare = 0.025;
    constexpr double shortTokens = 5000;
    constexpr double longTokens = 120'000;
    prompt.promptTokens = random.chance(longShare) ? longTokens : random.exponential(shortTokens);
    constexpr double outputTokens = 900;
    prompt.outputTokens = 34 + random.exponential(outputTokens);
    m_result.soundCount += isCrashing ? 0 : 1;
    m_prompts.push_back(std::move(prompt));
    receive(m_prompts.size() - 1);
}

void CrashExperiment::receive(std::size_t prompt)
{
    m_prompts[prompt].attempts = 0;
    send(prompt, m_schedule.random().below(m_scenario.instances));
}

void CrashExperiment::send(std::size_t prompt, std::size_t instance)
{
    m_engines.advanceTo(m_schedule.now());
    Prompt &it = m_prompts[prompt];
    const auto refusal = m_tables[instance].refusal(
        it.traits,
        [](const quarantine::QuarantineEntry & /*entry*/) {
            return false;
        },
        m_schedule.now());
    if (refusal) {
        if (it.isCrashing && !m_knownAt) {
            m_knownAt = m_schedule.now();
            m_result.crashesUntilKnown = m_result.crashCount;
            recordKnowledge();
        }
        m_result.soundRefused += it.isCrashing ? 0 : 1;
        finish(prompt, false);
        return;
    }
    std::optional<enginemodel::EngineIndex> chosen;
    const std::size_t offset = m_schedule.random().below(m_scenario.engines);
    for (std::size_t n = 0; n < m_scenario.engines; ++n) {
        const std::size_t i = (n + offset) % m_scenario.engines;
        const bool isBetter = !chosen || m_engines.requestCount(i) < m_engines.requestCount(*chosen);
        if (m_engines.isRunning(i) && isBetter) {
            chosen = i;
        }
    }
    if (!chosen) {
        finish(prompt, false);
        return;
    }
    ++it.attempts;
    if (it.isCrashing && m_fifthCrashAt && m_schedule.now() > *m_fifthCrashAt + contactTime) {
        ++m_result.lateArrivals;
    }
    const enginemodel::JobId id = m_nextId++;
    const catalogue::EngineModel model = engineModel();
    Attempt attempt;
    attempt.prompt = prompt;
    attempt.instance = instance;
    attempt.sentAt = m_schedule.now();
    attempt.predictedMs = it.promptTokens / model.prefillTokensPerMs + model.stepMs * model.stepsPerPass;
    m_attempts[id] = attempt;
    enginemodel::ModelJob job;
    job.id = id;
    job.primary = *chosen;
    job.promptTokens = it.promptTokens;
    job.outputTokens = it.outputTokens;
    job.isCrashing = it.isCrashing;
    m_engines.submit(job, m_schedule.now());
    scheduleWakeUp();
}

void CrashExperiment::finish(std::size_t prompt, bool isServed)
{
    Prompt &it = m_prompts[prompt];
    if (isServed) {
        m_result.soundServed += it.isCrashing ? 0 : 1;
        return;
    }
    if (it.callerRetries++ == 0) {
        m_schedule.after(callerRetryDelay, [this, prompt] {
            receive(prompt);
        });
    }
}

void CrashExperiment::onEvent(enginemodel::JobId job, MonoTime at)
{
    const auto it = m_attempts.find(job);
    if (it == m_attempts.end()) {
        return;
    }
    Attempt &attempt = it->second;
    if (!attempt.firstEventAt) {
        attempt.firstEventAt = at;
    }
    if (!attempt.isProven && at - *attempt.firstEventAt >= maxBeginningTime) {
        attempt.isProven = true;
        recordSuccess(attempt, at);
    }
}

void CrashExperiment::recordSuccess(const Attempt &attempt, MonoTime at)
{
    const auto &suspects = m_prompts[attempt.prompt].traits.suspects;
    quarantine::QuarantineTable &table = m_tables[attempt.instance];
    std::vector<Fingerprint> news;
    std::copy_if(suspects.begin(), suspects.end(), std::back_inserter(news), [&](Fingerprint it) {
        const bool isOwn = static_cast<std::uint64_t>(it) >= firstRequest;
        return table.crashCount(it) >= (isOwn ? minCrashesOfRequest : 1);
    });
    table.recordSuccess(suspects, at);
    if (!news.empty()) {
        broadcast(attempt.instance, datagramBytes + news.size() * successBytes,
            [news, at](quarantine::QuarantineTable &other, MonoTime now) {
                other.clear(news, at, now);
            });
    }
}

void CrashExperiment::onDone(enginemodel::JobId job, MonoTime at)
{
    const auto node = m_attempts.extract(job);
    if (!node) {
        return;
    }
    recordSuccess(node.mapped(), at);
    finish(node.mapped().prompt, true);
}

void CrashExperiment::onRefused(enginemodel::JobId job, MonoTime /*at*/)
{
    const auto node = m_attempts.extract(job);
    if (node) {
        finish(node.mapped().prompt, false);
    }
}

void CrashExperiment::onBroken(enginemodel::JobId job, enginemodel::EngineIndex crashed, MonoTime at)
{
    const auto node = m_attempts.extract(job);
    if (!node) {
        return;
    }
    const Attempt attempt = node.mapped();
    Prompt &prompt = m_prompts[attempt.prompt];
    const bool isReason = prompt.isCrashing && !m_isOutage
        && isBeginning(attempt.sentAt, attempt.predictedMs, attempt.firstEventAt, at);
    if (isReason && m_crashedRuns.insert({crashed, m_runs[crashed]}).second && ++m_result.crashCount == crashesToShow) {
        m_fifthCrashAt = at;
    }
    reportCrash(attempt, crashed, at);
    scheduleRestart(crashed);
    if (prompt.attempts < maxAttempts) {
        m_schedule.at(at + Milliseconds(1), [this, attempt] {
            send(attempt.prompt, attempt.instance);
        });
    } else {
        finish(attempt.prompt, false);
    }
}

void CrashExperiment::reportCrash(const Attempt &attempt, enginemodel::EngineIndex engine, MonoTime at)
{
    quarantine::CrashReport report;
    report.id = m_nextId++;
    report.run = {engine, m_runs[engine]};
    report.sentAt = attempt.sentAt;
    report.endedAt = at;
    if (isBeginning(attempt.sentAt, attempt.predictedMs, attempt.firstEventAt, at)) {
        report.traits = m_prompts[attempt.prompt].traits;
        report.established = m_tables[attempt.instance].establishedOf(report.traits.suspects, at);
    }
    m_tables[attempt.instance].addReport(report, at);
    scheduleUpdate(attempt.instance);
    broadcast(
        attempt.instance, datagramBytes + reportBytes, [report](quarantine::QuarantineTable &table, MonoTime now) {
            table.addReport(report, now);
        });
}

void CrashExperiment::broadcast(std::size_t from, std::size_t bytes,
    const std::function<void(quarantine::QuarantineTable &table, MonoTime now)> &deliver)
{
    for (std::size_t i = 0; i < m_tables.size(); ++i) {
        if (i == from) {
            continue;
        }
        m_bytes += static_cast<double>(bytes);
        if (m_schedule.random().chance(m_scenario.messageLoss) || isCut(from, i)) {
            continue;
        }
        m_schedule.after(m_scenario.messageDelay, [this, i, deliver] {
            deliver(m_tables[i], m_schedule.now());
            scheduleUpdate(i);
        });
    }
}

void CrashExperiment::scheduleUpdate(std::size_t instance)
{
    if (!m_updatesScheduled.insert(instance).second) {
        return;
    }
    m_schedule.after(settleTime, [this, instance] {
        m_updatesScheduled.erase(instance);
        m_tables[instance].update(m_schedule.now());
    });
}

void CrashExperiment::recordKnowledge()
{
    const auto knows = [](quarantine::QuarantineTable &table) {
        const auto &entries = table.entries();
        return std::any_of(entries.begin(), entries.end(), [](const quarantine::QuarantineEntry &it) {
            return contains(it.traits.suspects, Fingerprint{crashingPart});
        });
    };
    if (std::all_of(m_tables.begin(), m_tables.end(), knows)) {
        m_result.spreadMs = std::chrono::duration<double, std::milli>(m_schedule.now() - *m_knownAt).count();
        return;
    }
    m_schedule.after(Milliseconds(1), [this] {
        recordKnowledge();
    });
}

void CrashExperiment::sendFullStates(std::size_t instance)
{
    const auto entries = m_tables[instance].entries();
    constexpr std::uint64_t fullStatesPerExchange = 8;
    if (!entries.empty() && m_schedule.random().below(fullStatesPerExchange) == 0) {
        // The datagrams of the full state are sent anyway.
        broadcast(instance, entries.size() * entryBytes, [entries](quarantine::QuarantineTable &table, MonoTime now) {
            for (const quarantine::QuarantineEntry &it : entries) {
                table.adopt(it, now);
            }
        });
    }
    m_tables[instance].expire(m_schedule.now());
    m_schedule.after(m_scenario.heartbeatInterval, [this, instance] {
        sendFullStates(instance);
    });
}

void CrashExperiment::scheduleOutage()
{
    const auto delayMs = m_schedule.random().exponential(static_cast<double>(m_scenario.outages.meanInterval.count()));
    m_schedule.after(Milliseconds(static_cast<std::int64_t>(delayMs)), [this] {
        for (std::size_t i = 0; i < m_scenario.engines; ++i) {
            if (m_engines.isRunning(i) && m_schedule.random().chance(m_scenario.outages.engineShare)) {
                m_engines.advanceTo(m_schedule.now());
                m_isOutage = true;
                m_engines.crash(i, m_schedule.now());
                m_isOutage = false;
                scheduleRestart(i);
            }
        }
        scheduleWakeUp();
        scheduleOutage();
    });
}

void CrashExperiment::scheduleRestart(enginemodel::EngineIndex engine)
{
    if (m_isRestartScheduled[engine]) {
        return;
    }
    m_isRestartScheduled[engine] = true;
    m_schedule.after(m_scenario.engineRestartTime, [this, engine] {
        m_isRestartScheduled[engine] = false;
        ++m_runs[engine];
        m_engines.restart(engine);
    });
}

void CrashExperiment::scheduleWakeUp()
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
