// Reads requests from log lines and runs them on the engine model.
#include "recordedrun.h"

#include "enginemodel/enginefleet.h"
#include "outcomes.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_map>

namespace magnolia::bench
{

namespace
{

using Json = nlohmann::json;
using enginemodel::EngineIndex;
using enginemodel::JobId;

/** Prompts up to this length are prefilled in a fraction of a short target. */
constexpr double maxShortPromptTokens = 30'000;

MonoTime toTime(double ms)
{
    return MonoTime(std::chrono::duration_cast<MonoTime::duration>(std::chrono::duration<double, std::milli>(ms)));
}

double toMs(MonoTime time)
{
    return std::chrono::duration<double, std::milli>(time.time_since_epoch()).count();
}

std::vector<std::string> readStringList(const Json &line, const char *field)
{
    std::vector<std::string> names;
    const auto it = line.find(field);
    if (it != line.end() && it->is_array()) {
        for (const Json &name : *it) {
            if (name.is_string()) {
                names.push_back(name.get<std::string>());
            }
        }
    }
    return names;
}

struct ModelledResult
{
    double firstEventMs = -1;
    double endMs = -1;
    std::string category;
};

/** Work of an engine at the moment when a request arrives, without that request. */
struct EngineActivity
{
    int decodes = 0;
    int prefills = 0;
    bool hasLongPrefill = false;
};

class Replay : public enginemodel::IEngineFleetListener
{
public:
    Replay(const catalogue::EngineModel &model, const std::vector<RecordedRequest> &requests)
        : m_model(model)
        , m_requests(requests)
        , m_engines(model, countEngines(), *this)
        , m_modelled(requests.size())
    {
    }

    std::vector<ModelledResult> run()
    {
        struct Event
        {
            double atMs = 0;
            bool isEnd = false;
            std::size_t requestIndex = 0;
        };
        std::vector<Event> timeline;
        for (std::size_t i = 0; i < m_requests.size(); ++i) {
            if (m_requests[i].isRefused) {
                continue;
            }
            timeline.push_back({m_requests[i].placedAtMs, false, i});
            if (!m_requests[i].isServedAtFirstAttempt) {
                // Truncated or cancelled by its caller: the engine stops working on it at that time.
                timeline.push_back({m_requests[i].placedAtMs + m_requests[i].endMs, true, i});
            }
        }
        std::sort(timeline.begin(), timeline.end(), [](const Event &a, const Event &b) {
            return a.atMs < b.atMs;
        });
        for (const Event &it : timeline) {
            const MonoTime at = toTime(it.atMs);
            m_engines.advanceTo(at);
            if (it.isEnd) {
                m_running.erase(it.requestIndex + 1);
                m_engines.cancel(it.requestIndex + 1, at);
            } else {
                submit(it.requestIndex, at);
            }
        }
        m_engines.advanceTo(MonoTime::max());
        return m_modelled;
    }

    void onEvent(JobId job, MonoTime at) override
    {
        ModelledResult &it = m_modelled[job - 1];
        if (it.firstEventMs < 0) {
            it.firstEventMs = toMs(at) - m_requests[job - 1].placedAtMs;
            m_running[job] = true;
        }
    }
    void onDone(JobId job, MonoTime at) override
    {
        m_modelled[job - 1].endMs = toMs(at) - m_requests[job - 1].placedAtMs;
        m_running.erase(job);
    }
    void onRefused(JobId job, MonoTime /*at*/) override
    {
        m_running.erase(job);
    }
    void onBroken(JobId job, enginemodel::EngineIndex /*crashed*/, MonoTime /*at*/) override
    {
        m_running.erase(job);
    }

private:
    std::size_t countEngines()
    {
        for (const RecordedRequest &it : m_requests) {
            if (it.isRefused) {
                continue;
            }
            m_engineIndexes.emplace(it.primary, m_engineIndexes.size());
            for (const std::string &helper : it.helpers) {
                m_engineIndexes.emplace(helper, m_engineIndexes.size());
            }
        }
        return m_engineIndexes.size();
    }

    void submit(std::size_t requestIndex, MonoTime at)
    {
        const RecordedRequest &it = m_requests[requestIndex];
        m_modelled[requestIndex].category = categoryOf(it, activityAt(it.primary));
        enginemodel::ModelJob job;
        job.id = requestIndex + 1;
        job.primary = m_engineIndexes.at(it.primary);
        for (const std::string &helper : it.helpers) {
            job.helpers.push_back(m_engineIndexes.at(helper));
        }
        job.promptTokens = it.promptTokens;
        job.outputTokens = std::max(1.0, it.eventCount * m_model.stepsPerPass);
        job.reservedTokensPerHelper = it.reservedTokensPerHelper;
        m_running[job.id] = false;
        m_engines.submit(job, at);
    }

    EngineActivity activityAt(const std::string &engine) const
    {
        EngineActivity activity;
        for (const auto &[job, isDecoding] : m_running) {
            const RecordedRequest &it = m_requests[job - 1];
            const bool isHelper = std::find(it.helpers.begin(), it.helpers.end(), engine) != it.helpers.end();
            if (it.primary != engine && (!isHelper || isDecoding)) {
                continue;
            }
            ++(isDecoding ? activity.decodes : activity.prefills);
            activity.hasLongPrefill
                = activity.hasLongPrefill || (!isDecoding && it.promptTokens > maxShortPromptTokens);
        }
        return activity;
    }

    static std::string categoryOf(const RecordedRequest &it, const EngineActivity &activity)
    {
        const std::string kind = it.promptTokens <= maxShortPromptTokens ? "short" : "long";
        if (!it.helpers.empty()) {
            constexpr std::size_t maxSmallGroupHelpers = 3;
            return kind
                + (it.helpers.size() <= maxSmallGroupHelpers ? ", by 2 to 4 engines" : ", by 5 engines or more");
        }
        if (activity.hasLongPrefill) {
            return kind + ", behind a long prefill";
        }
        constexpr int maxFewDecodes = 4;
        if (activity.prefills > 0) {
            return kind + ", behind short prefills";
        }
        return kind
            + (activity.decodes == 0                    ? ", alone"
                    : activity.decodes <= maxFewDecodes ? ", beside 1 to 4 decodes"
                                                        : ", beside 5 decodes or more");
    }

    const catalogue::EngineModel &m_model;
    const std::vector<RecordedRequest> &m_requests;
    // Must be declared before m_engines: countEngines() fills it while m_engines is initialised.
    std::map<std::string, EngineIndex> m_engineIndexes;
    enginemodel::EngineFleet m_engines;
    std::vector<ModelledResult> m_modelled;
    // Running requests, and whether they are decoding.
    std::map<JobId, bool> m_running;
};

} // namespace

std::vector<RecordedRequest> readRecordedRequests(std::istream &log)
{
    std::unordered_map<std::string, RecordedRequest> openRequests;
    std::vector<RecordedRequest> finishedRequests;
    std::string text;
    while (std::getline(log, text)) {
        // Log collectors may put a time or a host name before the JSON object.
        const std::size_t jsonBegin = std::min(text.find('{'), text.size());
        const Json line
            = Json::parse(text.begin() + static_cast<std::ptrdiff_t>(jsonBegin), text.end(), nullptr, false);
        if (!line.is_object() || line.value("module", "") != "gateway") {
            continue;
        }
        const std::string event = line.value("event", "");
        const std::string id = line.value("instance", "") + '/' + line.value("request", "");
        const double now = line.value("time_ms", 0.0);
        if (event == "placed" && line.value("prompt_tokens", 0.0) > 0) {
            RecordedRequest request;
            request.isRefused = line.value("verdict", "") != "send";
            request.estimatedOutputTokens = line.value("output_tokens", 0.0);
            request.firstEventTargetMs = line.value("target_ms", 0.0);
            request.id = id;
            request.placedAtMs = now;
            request.primary = line.value("upstream", "");
            request.helpers = readStringList(line, "helpers");
            request.promptTokens = line.value("prompt_tokens", 0.0);
            request.reservedTokensPerHelper = line.value("ticket_tokens", 0.0);
            const auto previous = openRequests.find(id);
            if (previous != openRequests.end()) {
                previous->second.endMs = now - previous->second.placedAtMs;
                finishedRequests.push_back(previous->second);
            }
            openRequests[id] = request;
        } else if (event == "ended" && openRequests.contains(id)) {
            RecordedRequest finished = openRequests.at(id);
            openRequests.erase(id);
            finished.endMs = now - finished.placedAtMs;
            finished.eventCount = line.value("events", 0.0);
            finished.isServedAtFirstAttempt = line.value("outcome", "") == "served" && line.value("sends", 0) == 1;
            finished.firstEventMs = finished.isServedAtFirstAttempt ? line.value("first_ms", -1.0) : -1;
            finishedRequests.push_back(std::move(finished));
        }
    }
    std::sort(finishedRequests.begin(), finishedRequests.end(), [](const RecordedRequest &a, const RecordedRequest &b) {
        return a.placedAtMs < b.placedAtMs;
    });
    return finishedRequests;
}

std::vector<Arrival> makeRecordedArrivals(const Workload &workload, const std::vector<RecordedRequest> &requests)
{
    std::vector<Arrival> arrivals;
    for (const RecordedRequest &it : requests) {
        const auto found
            = std::find_if(workload.classes.begin(), workload.classes.end(), [&](const PromptClass &promptClass) {
                  return static_cast<double>(promptClass.firstEventTarget.count()) == it.firstEventTargetMs;
              });
        if (found == workload.classes.end()) {
            continue;
        }
        Arrival arrival;
        arrival.id = arrivals.size() + 1;
        arrival.promptClass = static_cast<std::size_t>(found - workload.classes.begin());
        arrival.at = toTime(it.placedAtMs - requests.front().placedAtMs);
        arrival.promptTokens = it.promptTokens;
        arrival.estimatedOutputTokens = std::max(1.0, it.estimatedOutputTokens);
        // The full length of a truncated or cancelled answer is unknown; the caller's estimate is used instead.
        arrival.outputTokens
            = it.isServedAtFirstAttempt ? it.eventCount * workload.engine.stepsPerPass : arrival.estimatedOutputTokens;
        arrivals.push_back(arrival);
    }
    return arrivals;
}

std::map<std::string, ReplaySummary> replayRequests(
    const catalogue::EngineModel &model, const std::vector<RecordedRequest> &requests, double delayMs)
{
    const std::vector<ModelledResult> modelled = Replay(model, requests).run();
    struct CategoryValues
    {
        std::vector<double> measuredFirstEvent, modelledFirstEvent, measuredTotal, modelledTotal, firstEventError,
            totalError;
    };
    std::map<std::string, CategoryValues> valuesByCategory;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const RecordedRequest &it = requests[i];
        if (!it.isServedAtFirstAttempt || it.firstEventMs <= 0 || modelled[i].firstEventMs < 0
            || modelled[i].endMs < 0) {
            continue;
        }
        CategoryValues &category = valuesByCategory[modelled[i].category];
        const double firstEventMs = modelled[i].firstEventMs + delayMs;
        const double totalMs = modelled[i].endMs + delayMs;
        category.measuredFirstEvent.push_back(it.firstEventMs);
        category.modelledFirstEvent.push_back(firstEventMs);
        category.measuredTotal.push_back(it.endMs);
        category.modelledTotal.push_back(totalMs);
        category.firstEventError.push_back(firstEventMs / it.firstEventMs - 1);
        category.totalError.push_back(totalMs / it.endMs - 1);
    }
    std::map<std::string, ReplaySummary> summaries;
    constexpr double median = 0.5;
    for (const auto &[name, it] : valuesByCategory) {
        summaries[name] = {it.firstEventError.size(), quantile(it.measuredFirstEvent, median),
            quantile(it.modelledFirstEvent, median), quantile(it.measuredTotal, median),
            quantile(it.modelledTotal, median), quantile(it.firstEventError, median), quantile(it.totalError, median)};
    }
    return summaries;
}

} // namespace magnolia::bench
