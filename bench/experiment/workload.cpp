// Parses workloads from JSON and draws their arrivals.
#include "workload.h"

#include "framework/global/random.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace magnolia::bench
{

namespace
{

using Json = nlohmann::json;

/** Reads fields of a JSON object. It stores only the first error and goes on with default values after it. */
struct JsonReader
{
    const Json &json;
    std::string path;
    std::string &error;

    void reportError(const std::string &field, const std::string &what) const
    {
        if (error.empty()) {
            error = path + field + ": " + what;
        }
    }

    [[nodiscard]] double numberField(const std::string &field, double defaultValue, double min = 0) const
    {
        const auto it = json.find(field);
        if (it == json.end()) {
            return defaultValue;
        }
        if (!it->is_number()) {
            reportError(field, "expected a number, got " + it->dump());
            return defaultValue;
        }
        const double value = it->get<double>();
        if (!(value >= min)) {
            reportError(field, "expected at least " + std::to_string(min) + ", got " + it->dump());
        }
        return value;
    }

    [[nodiscard]] std::string stringField(const std::string &field) const
    {
        const auto it = json.find(field);
        if (it == json.end() || !it->is_string() || it->get<std::string>().empty()) {
            reportError(field, "expected a non-empty string");
            return {};
        }
        return it->get<std::string>();
    }

    [[nodiscard]] Milliseconds millisecondsField(const std::string &field, double defaultValue) const
    {
        return Milliseconds(static_cast<std::int64_t>(numberField(field, defaultValue)));
    }

    [[nodiscard]] JsonReader objectField(const std::string &field) const
    {
        static const Json empty = Json::object();
        const auto it = json.find(field);
        if (it == json.end() || !it->is_object()) {
            reportError(field, "expected an object");
            return {empty, path + field + '.', error};
        }
        return {*it, path + field + '.', error};
    }

    [[nodiscard]] std::vector<JsonReader> objectList(const std::string &field) const
    {
        std::vector<JsonReader> objects;
        const auto it = json.find(field);
        if (it == json.end()) {
            return objects;
        }
        if (!it->is_array()) {
            reportError(field, "expected an array");
            return objects;
        }
        for (std::size_t i = 0; i < it->size(); ++i) {
            const std::string objectPath = path + field + '[' + std::to_string(i) + "].";
            if ((*it)[i].is_object()) {
                objects.push_back({(*it)[i], objectPath, error});
            } else {
                reportError(field, "entry " + std::to_string(i) + " is not an object");
            }
        }
        return objects;
    }
};

LengthDistribution readLengthDistribution(const JsonReader &reader)
{
    return {reader.numberField("mean", 1, 1), reader.numberField("spread", 0), reader.numberField("most", 1e9, 1)};
}

catalogue::EngineModel readEngine(const JsonReader &reader)
{
    catalogue::EngineModel engine;
    engine.slots = static_cast<int>(reader.numberField("slots", engine.slots, 1));
    engine.kvCapacityTokens = reader.numberField("memoryTokens", engine.kvCapacityTokens);
    engine.stepsPerPass = static_cast<int>(reader.numberField("stepsPerPass", engine.stepsPerPass, 1));
    engine.stepMs = reader.numberField("stepMs", engine.stepMs);
    engine.decodeStepMsPerRequest = reader.numberField("writerMs", engine.decodeStepMsPerRequest);
    engine.decodeStepMsPerThousandTokens
        = reader.numberField("contextMsPerThousand", engine.decodeStepMsPerThousandTokens);
    engine.prefillTokensPerMs = reader.numberField("readTokensPerMs", engine.prefillTokensPerMs, 1e-6);
    engine.attentionMsPerMillionPairs = reader.numberField("pairMsPerMillion", engine.attentionMsPerMillionPairs);
    engine.chunkTokens = reader.numberField("chunkTokens", engine.chunkTokens, 1);
    engine.hopMs = reader.numberField("hopMs", engine.hopMs);
    return engine;
}

PromptClass readPromptClass(const JsonReader &reader)
{
    PromptClass promptClass;
    promptClass.name = reader.stringField("name");
    promptClass.ratePerSecond = reader.numberField("perSecond", promptClass.ratePerSecond);
    promptClass.promptLength = readLengthDistribution(reader.objectField("promptTokens"));
    promptClass.outputLength = readLengthDistribution(reader.objectField("outputTokens"));
    promptClass.estimateSigma = reader.numberField("estimateSpread", promptClass.estimateSigma);
    promptClass.firstEventTarget = reader.millisecondsField("targetMs", 1000);
    promptClass.gapTarget = reader.millisecondsField("gapTargetMs", 1000);
    promptClass.deadline = reader.millisecondsField("deadlineMs", 10'000);
    promptClass.maxRetries = static_cast<int>(reader.numberField("retries", promptClass.maxRetries));
    return promptClass;
}

double drawLength(const LengthDistribution &distribution, Random &random)
{
    const double radius = std::sqrt(-2 * std::log(1 - random.unit()));
    const double normal = radius * std::cos(2 * std::numbers::pi * random.unit());
    const double value
        = distribution.mean * std::exp(distribution.sigma * normal - distribution.sigma * distribution.sigma / 2);
    return std::clamp(std::round(value), 1.0, distribution.max);
}

double rateFactorAt(const Workload &workload, const PromptClass &promptClass, double second)
{
    const double secondInPeriod
        = workload.peakPeriodSeconds > 0 ? std::fmod(second, workload.peakPeriodSeconds) : second;
    double factor = 1;
    for (const Peak &it : workload.peaks) {
        const auto found = it.rateFactors.find(promptClass.name);
        if (found != it.rateFactors.end() && secondInPeriod >= it.startSecond
            && secondInPeriod < it.startSecond + it.durationSeconds) {
            factor *= found->second;
        }
    }
    return factor;
}

double maxRateFactor(const Workload &workload, const PromptClass &promptClass)
{
    // Peaks of one class may overlap, and their factors multiply then.
    double factor = 1;
    for (const Peak &it : workload.peaks) {
        const auto found = it.rateFactors.find(promptClass.name);
        factor *= found == it.rateFactors.end() ? 1 : std::max(1.0, found->second);
    }
    return factor;
}

} // namespace

Result<Workload> parseWorkload(const std::string &json)
{
    const Json document = Json::parse(json, nullptr, false, true);
    if (!document.is_object()) {
        return makeError(ResultCode::SettingsUnreadable, "workload: not a JSON object");
    }
    std::string error;
    const JsonReader reader{document, {}, error};
    Workload workload;
    workload.name = reader.stringField("name");
    workload.engineCount = static_cast<std::size_t>(reader.numberField("engines", 1, 1));
    workload.instanceCount = static_cast<std::size_t>(reader.numberField("instances", 1, 1));
    workload.peerMessageDelay
        = reader.millisecondsField("noteDelayMs", static_cast<double>(workload.peerMessageDelay.count()));
    workload.maxPeerMessageDelay = reader.millisecondsField("noteDelayMostMs", 0);
    workload.peerMessageLoss = reader.numberField("noteLoss", 0);
    workload.fullStateInterval = reader.millisecondsField("fullStateMs", 0);
    for (const JsonReader &it : reader.objectList("restarts")) {
        workload.restarts.push_back({it.numberField("atSecond", 0), it.numberField("share", 1)});
    }
    for (const JsonReader &it : reader.objectList("speeds")) {
        constexpr double minSpeed = 0.01;
        const double speed = it.numberField("speed", 1, minSpeed);
        const auto engines = static_cast<std::size_t>(it.numberField("engines", 1, 1));
        workload.engineSpeeds.insert(workload.engineSpeeds.end(), engines, speed);
    }
    workload.engine = readEngine(reader.objectField("engine"));
    for (const JsonReader &it : reader.objectList("classes")) {
        workload.classes.push_back(readPromptClass(it));
    }
    if (workload.classes.empty()) {
        reader.reportError("classes", "expected at least one class");
    }
    workload.peakPeriodSeconds = reader.numberField("periodSeconds", 0);
    for (const JsonReader &it : reader.objectList("crests")) {
        Peak peak{it.numberField("fromSecond", 0), it.numberField("forSeconds", 1), {}};
        const JsonReader rateFactors = it.objectField("factors");
        for (const auto &[name, factor] : rateFactors.json.items()) {
            peak.rateFactors[name] = rateFactors.numberField(name, 1);
        }
        workload.peaks.push_back(std::move(peak));
    }
    for (const JsonReader &it : reader.objectList("limits")) {
        workload.limits.push_back({static_cast<std::size_t>(it.numberField("engine", 0)),
            it.numberField("fromSecond", 0), it.numberField("forSeconds", 1), it.numberField("perSecond", 1)});
    }
    if (!error.empty()) {
        return makeError(ResultCode::SettingsInvalid, error);
    }
    return workload;
}

std::optional<double> limitAt(const Workload &workload, std::size_t engine, double second)
{
    for (const EngineLimit &it : workload.limits) {
        if (it.engine == engine && second >= it.startSecond && second < it.startSecond + it.durationSeconds) {
            return it.requestsPerSecond;
        }
    }
    return std::nullopt;
}

double engineSlowdown(const Workload &workload, std::size_t engine)
{
    return workload.engineSpeeds.empty() ? 1 : 1 / workload.engineSpeeds[engine % workload.engineSpeeds.size()];
}

std::vector<Arrival> makeArrivals(const Workload &workload, double seconds, std::uint64_t seed)
{
    std::vector<Arrival> arrivals;
    for (std::size_t i = 0; i < workload.classes.size(); ++i) {
        const PromptClass &it = workload.classes[i];
        const double maxRate = it.ratePerSecond * maxRateFactor(workload, it);
        if (maxRate <= 0) {
            continue;
        }
        Random random(seed * 1000 + i);
        for (double at = random.exponential(1 / maxRate); at < seconds; at += random.exponential(1 / maxRate)) {
            // Thins arrivals that are drawn at the maximum rate of the class, so that they do not depend on other
            // classes.
            const bool isKept = random.unit() * maxRate < it.ratePerSecond * rateFactorAt(workload, it, at);
            Arrival arrival;
            arrival.promptClass = i;
            arrival.at = MonoTime(std::chrono::duration_cast<MonoTime::duration>(std::chrono::duration<double>(at)));
            arrival.promptTokens = drawLength(it.promptLength, random);
            arrival.outputTokens = drawLength(it.outputLength, random);
            // The median of the estimates is the true length.
            const LengthDistribution errorDistribution{
                std::exp(it.estimateSigma * it.estimateSigma / 2), it.estimateSigma, 1e9};
            constexpr double scale = 1000;
            arrival.estimatedOutputTokens = std::max(1.0,
                arrival.outputTokens
                    * drawLength(
                        {errorDistribution.mean * scale, errorDistribution.sigma, errorDistribution.max}, random)
                    / scale);
            if (isKept) {
                arrivals.push_back(arrival);
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const Arrival &a, const Arrival &b) {
        return a.at < b.at;
    });
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        arrivals[i].id = i + 1;
    }
    return arrivals;
}

} // namespace magnolia::bench
