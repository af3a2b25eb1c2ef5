// From log lines to jobs of the engine model.
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

/** Prompts up to this many tokens are read in a fraction of a short target. */
constexpr double shortTokens = 30'000;

MonoTime toTime(double ms)
{
    return MonoTime(std::chrono::duration_cast<MonoTime::duration>(std::chrono::duration<double, std::milli>(ms)));
}

double toMs(MonoTime time)
{
    return std::chrono::duration<double, std::milli>(time.time_since_epoch()).count();
}

std::vector<std::string> readNames(const Json &line, const char *field)
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

struct Modelled
{
    double firstMs = -1;
    double endMs = -1;
    std::string scene;
};

/** What the engine did when a request came, before the request itself. */
struct Situation
{
    int writers = 0;
    int reads = 0;
    bool isLongRead = false;
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

    std::vector<Modelled> play()
    {
        struct Step
        {
            double atMs = 0;
            bool isEnd = false;
            std::size_t number = 0;
        };
        std::vector<Step> steps;
        for (std::size_t i = 0; i < m_requests.size(); ++i) {
            if (m_requests[i].isRefused) {
                continue;
            }
            steps.push_back({m_requests[i].atMs, false, i});
            if (!m_requests[i].isPlain) {
                // Cut off, or left by its caller: the engine stops as it was told.
                steps.push_back({m_requests[i].atMs + m_requests[i].endMs, true, i});
            }
        }
        std::sort(steps.begin(), steps.end(), [](const Step &a, const Step &b) {
            return a.atMs < b.atMs;
        });
        for (const Step &it : steps) {
            const MonoTime at = toTime(it.atMs);
            m_engines.advanceTo(at);
            if (it.isEnd) {
                m_running.erase(it.number + 1);
                m_engines.cancel(it.number + 1, at);
            } else {
                submit(it.number, at);
            }
        }
        m_engines.advanceTo(MonoTime::max());
        return m_modelled;
    }

    void onEvent(JobId job, MonoTime at) override
    {
        Modelled &it = m_modelled[job - 1];
        if (it.firstMs < 0) {
            it.firstMs = toMs(at) - m_requests[job - 1].atMs;
            m_running[job] = true;
        }
    }
    void onDone(JobId job, MonoTime at) override
    {
        m_modelled[job - 1].endMs = toMs(at) - m_requests[job - 1].atMs;
        m_running.erase(job);
    }
    void onRefused(JobId job, MonoTime /*at*/) override
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
            m_indexes.emplace(it.engine, m_indexes.size());
            for (const std::string &helper : it.helpers) {
                m_indexes.emplace(helper, m_indexes.size());
            }
        }
        return m_indexes.size();
    }

    void submit(std::size_t number, MonoTime at)
    {
        const RecordedRequest &it = m_requests[number];
        m_modelled[number].scene = sceneOf(it, situationAt(it.engine));
        enginemodel::ModelJob job;
        job.id = number + 1;
        job.primary = m_indexes.at(it.engine);
        for (const std::string &helper : it.helpers) {
            job.helpers.push_back(m_indexes.at(helper));
        }
        job.promptTokens = it.promptTokens;
        job.outputTokens = std::max(1.0, it.events * m_model.stepsPerPass);
        job.reservedTokensPerHelper = it.ticketTokens;
        m_running[job.id] = false;
        m_engines.submit(job, at);
    }

    Situation situationAt(const std::string &engine) const
    {
        Situation made;
        for (const auto &[job, isWriting] : m_running) {
            const RecordedRequest &it = m_requests[job - 1];
            const bool isHelper = std::find(it.helpers.begin(), it.helpers.end(), engine) != it.helpers.end();
            if (it.engine != engine && (!isHelper || isWriting)) {
                continue;
            }
            ++(isWriting ? made.writers : made.reads);
            made.isLongRead = made.isLongRead || (!isWriting && it.promptTokens > shortTokens);
        }
        return made;
    }

    static std::string sceneOf(const RecordedRequest &it, const Situation &situation)
    {
        const std::string kind = it.promptTokens <= shortTokens ? "short" : "long";
        if (!it.helpers.empty()) {
            constexpr std::size_t few = 3;
            return kind + (it.helpers.size() <= few ? ", by 2 to 4 engines" : ", by 5 engines or more");
        }
        if (situation.isLongRead) {
            return kind + ", behind a long read";
        }
        constexpr int fewWriters = 4;
        if (situation.reads > 0) {
            return kind + ", behind short reads";
        }
        return kind
            + (situation.writers == 0                 ? ", alone"
                    : situation.writers <= fewWriters ? ", beside 1 to 4 writers"
                                                      : ", beside 5 writers or more");
    }

    const catalogue::EngineModel &m_model;
    const std::vector<RecordedRequest> &m_requests;
    // Filled before the engines are made.
    std::map<std::string, EngineIndex> m_indexes;
    enginemodel::EngineFleet m_engines;
    std::vector<Modelled> m_modelled;
    // Requests under way, and whether they write.
    std::map<JobId, bool> m_running;
};

} // namespace

std::vector<RecordedRequest> readRecorded(std::istream &log)
{
    std::unordered_map<std::string, RecordedRequest> open;
    std::vector<RecordedRequest> ended;
    std::string text;
    while (std::getline(log, text)) {
        // Collectors of logs put a time or a name before the line.
        const std::size_t begin = std::min(text.find('{'), text.size());
        const Json line = Json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
        if (!line.is_object() || line.value("module", "") != "gateway") {
            continue;
        }
        const std::string event = line.value("event", "");
        const std::string id = line.value("instance", "") + '/' + line.value("request", "");
        const double now = line.value("time_ms", 0.0);
        if (event == "placed" && line.value("prompt_tokens", 0.0) > 0) {
            RecordedRequest made;
            made.isRefused = line.value("verdict", "") != "send";
            made.estimatedTokens = line.value("output_tokens", 0.0);
            made.targetMs = line.value("target_ms", 0.0);
            made.id = id;
            made.atMs = now;
            made.engine = line.value("upstream", "");
            made.helpers = readNames(line, "helpers");
            made.promptTokens = line.value("prompt_tokens", 0.0);
            made.ticketTokens = line.value("ticket_tokens", 0.0);
            const auto before = open.find(id);
            if (before != open.end()) {
                before->second.endMs = now - before->second.atMs;
                ended.push_back(before->second);
            }
            open[id] = made;
        } else if (event == "ended" && open.contains(id)) {
            RecordedRequest it = open.at(id);
            open.erase(id);
            it.endMs = now - it.atMs;
            it.events = line.value("events", 0.0);
            it.isPlain = line.value("outcome", "") == "served" && line.value("sends", 0) == 1;
            it.firstMs = it.isPlain ? line.value("first_ms", -1.0) : -1;
            ended.push_back(std::move(it));
        }
    }
    std::sort(ended.begin(), ended.end(), [](const RecordedRequest &a, const RecordedRequest &b) {
        return a.atMs < b.atMs;
    });
    return ended;
}

std::vector<Arrival> recordedArrivals(const Workload &workload, const std::vector<RecordedRequest> &requests)
{
    std::vector<Arrival> arrivals;
    for (const RecordedRequest &it : requests) {
        const auto known = std::find_if(workload.classes.begin(), workload.classes.end(), [&](const PromptClass &of) {
            return static_cast<double>(of.target.count()) == it.targetMs;
        });
        if (known == workload.classes.end()) {
            continue;
        }
        Arrival made;
        made.id = arrivals.size() + 1;
        made.promptClass = static_cast<std::size_t>(known - workload.classes.begin());
        made.at = toTime(it.atMs - requests.front().atMs);
        made.promptTokens = it.promptTokens;
        made.estimatedTokens = std::max(1.0, it.estimatedTokens);
        // What was cut off would have gone on for about as long as its caller thought.
        made.outputTokens = it.isPlain ? it.events * workload.engine.stepsPerPass : made.estimatedTokens;
        arrivals.push_back(made);
    }
    return arrivals;
}

std::map<std::string, SceneFigures> replayRecorded(
    const catalogue::EngineModel &model, const std::vector<RecordedRequest> &requests, double delayMs)
{
    const std::vector<Modelled> modelled = Replay(model, requests).play();
    struct Values
    {
        std::vector<double> measuredFirst, modelledFirst, measuredTotal, modelledTotal, firstRatio, totalRatio;
    };
    std::map<std::string, Values> values;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const RecordedRequest &it = requests[i];
        if (!it.isPlain || it.firstMs <= 0 || modelled[i].firstMs < 0 || modelled[i].endMs < 0) {
            continue;
        }
        Values &scene = values[modelled[i].scene];
        const double first = modelled[i].firstMs + delayMs;
        const double total = modelled[i].endMs + delayMs;
        scene.measuredFirst.push_back(it.firstMs);
        scene.modelledFirst.push_back(first);
        scene.measuredTotal.push_back(it.endMs);
        scene.modelledTotal.push_back(total);
        scene.firstRatio.push_back(first / it.firstMs - 1);
        scene.totalRatio.push_back(total / it.endMs - 1);
    }
    std::map<std::string, SceneFigures> scenes;
    constexpr double middle = 0.5;
    for (const auto &[name, it] : values) {
        scenes[name] = {it.firstRatio.size(), quantile(it.measuredFirst, middle), quantile(it.modelledFirst, middle),
            quantile(it.measuredTotal, middle), quantile(it.modelledTotal, middle), quantile(it.firstRatio, middle),
            quantile(it.totalRatio, middle)};
    }
    return scenes;
}

} // namespace magnolia::bench
