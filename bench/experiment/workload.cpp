// Workloads from their JSON, and seeded arrivals.
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

/** The first mistake is kept; reading goes on, so that one pass finds the rest of the structure. */
struct Reader
{
    const Json &json;
    std::string path;
    std::string &mistake;

    void say(const std::string &field, const std::string &what) const
    {
        if (mistake.empty()) {
            mistake = path + field + ": " + what;
        }
    }

    [[nodiscard]] double number(const std::string &field, double otherwise, double least = 0) const
    {
        const auto it = json.find(field);
        if (it == json.end()) {
            return otherwise;
        }
        if (!it->is_number()) {
            say(field, "a number is needed");
            return otherwise;
        }
        const double value = it->get<double>();
        if (!(value >= least)) {
            say(field, "at least " + std::to_string(least));
        }
        return value;
    }

    [[nodiscard]] std::string text(const std::string &field) const
    {
        const auto it = json.find(field);
        if (it == json.end() || !it->is_string() || it->get<std::string>().empty()) {
            say(field, "a text is needed");
            return {};
        }
        return it->get<std::string>();
    }

    [[nodiscard]] Milliseconds ms(const std::string &field, double otherwise) const
    {
        return Milliseconds(static_cast<std::int64_t>(number(field, otherwise)));
    }

    [[nodiscard]] Reader inner(const std::string &field) const
    {
        static const Json empty = Json::object();
        const auto it = json.find(field);
        if (it == json.end() || !it->is_object()) {
            say(field, "an object is needed");
            return {empty, path + field + '.', mistake};
        }
        return {*it, path + field + '.', mistake};
    }

    [[nodiscard]] std::vector<Reader> list(const std::string &field) const
    {
        std::vector<Reader> readers;
        const auto it = json.find(field);
        if (it == json.end()) {
            return readers;
        }
        if (!it->is_array()) {
            say(field, "a list is needed");
            return readers;
        }
        for (std::size_t i = 0; i < it->size(); ++i) {
            const std::string place = path + field + '[' + std::to_string(i) + "].";
            if ((*it)[i].is_object()) {
                readers.push_back({(*it)[i], place, mistake});
            } else {
                say(field, "entry " + std::to_string(i) + " is no object");
            }
        }
        return readers;
    }
};

Size readSize(const Reader &from)
{
    return {from.number("mean", 1, 1), from.number("spread", 0), from.number("most", 1e9, 1)};
}

catalogue::EngineModel readEngine(const Reader &from)
{
    catalogue::EngineModel engine;
    engine.slots = static_cast<int>(from.number("slots", engine.slots, 1));
    engine.kvCapacityTokens = from.number("memoryTokens", engine.kvCapacityTokens);
    engine.stepsPerPass = static_cast<int>(from.number("stepsPerPass", engine.stepsPerPass, 1));
    engine.stepMs = from.number("stepMs", engine.stepMs);
    engine.decodeStepMsPerRequest = from.number("writerMs", engine.decodeStepMsPerRequest);
    engine.decodeStepMsPerThousandTokens = from.number("contextMsPerThousand", engine.decodeStepMsPerThousandTokens);
    engine.prefillTokensPerMs = from.number("readTokensPerMs", engine.prefillTokensPerMs, 1e-6);
    engine.attentionMsPerMillionPairs = from.number("pairMsPerMillion", engine.attentionMsPerMillionPairs);
    engine.chunkTokens = from.number("chunkTokens", engine.chunkTokens, 1);
    engine.hopMs = from.number("hopMs", engine.hopMs);
    return engine;
}

PromptClass readClass(const Reader &from)
{
    PromptClass made;
    made.name = from.text("name");
    made.perSecond = from.number("perSecond", made.perSecond);
    made.prompt = readSize(from.inner("promptTokens"));
    made.output = readSize(from.inner("outputTokens"));
    made.estimateSpread = from.number("estimateSpread", made.estimateSpread);
    made.target = from.ms("targetMs", 1000);
    made.gapTarget = from.ms("gapTargetMs", 1000);
    made.deadline = from.ms("deadlineMs", 10'000);
    made.worth = from.number("worth", made.worth);
    made.lateWorth = from.number("lateWorth", made.lateWorth);
    made.retries = static_cast<int>(from.number("retries", made.retries));
    return made;
}

double draw(const Size &size, Random &random)
{
    const double radius = std::sqrt(-2 * std::log(1 - random.unit()));
    const double normal = radius * std::cos(2 * std::numbers::pi * random.unit());
    const double value = size.mean * std::exp(size.spread * normal - size.spread * size.spread / 2);
    return std::clamp(std::round(value), 1.0, size.most);
}

double factorAt(const Workload &workload, const PromptClass &promptClass, double second)
{
    const double at = workload.periodSeconds > 0 ? std::fmod(second, workload.periodSeconds) : second;
    double factor = 1;
    for (const Crest &it : workload.crests) {
        const auto known = it.factors.find(promptClass.name);
        if (known != it.factors.end() && at >= it.fromSecond && at < it.fromSecond + it.forSeconds) {
            factor *= known->second;
        }
    }
    return factor;
}

double highestFactor(const Workload &workload, const PromptClass &promptClass)
{
    // Crests of one class may overlap, where their factors multiply.
    double factor = 1;
    for (const Crest &it : workload.crests) {
        const auto known = it.factors.find(promptClass.name);
        factor *= known == it.factors.end() ? 1 : std::max(1.0, known->second);
    }
    return factor;
}

} // namespace

Result<Workload> parseWorkload(const std::string &json)
{
    const Json document = Json::parse(json, nullptr, false, true);
    if (!document.is_object()) {
        return makeError(ResultCode::SettingsUnreadable, "workload: no JSON object");
    }
    std::string mistake;
    const Reader from{document, {}, mistake};
    Workload made;
    made.name = from.text("name");
    made.engines = static_cast<std::size_t>(from.number("engines", 1, 1));
    made.instances = static_cast<std::size_t>(from.number("instances", 1, 1));
    made.noteDelay = from.ms("noteDelayMs", static_cast<double>(made.noteDelay.count()));
    made.engine = readEngine(from.inner("engine"));
    for (const Reader &it : from.list("classes")) {
        made.classes.push_back(readClass(it));
    }
    if (made.classes.empty()) {
        from.say("classes", "at least one class is needed");
    }
    made.periodSeconds = from.number("periodSeconds", 0);
    for (const Reader &it : from.list("crests")) {
        Crest crest{it.number("fromSecond", 0), it.number("forSeconds", 1), {}};
        const Reader factors = it.inner("factors");
        for (const auto &[name, factor] : factors.json.items()) {
            crest.factors[name] = factors.number(name, 1);
        }
        made.crests.push_back(std::move(crest));
    }
    if (!mistake.empty()) {
        return makeError(ResultCode::SettingsInvalid, mistake);
    }
    return made;
}

std::vector<Arrival> makeArrivals(const Workload &workload, double seconds, std::uint64_t seed)
{
    std::vector<Arrival> arrivals;
    for (std::size_t i = 0; i < workload.classes.size(); ++i) {
        const PromptClass &it = workload.classes[i];
        const double most = it.perSecond * highestFactor(workload, it);
        if (most <= 0) {
            continue;
        }
        Random random(seed * 1000 + i);
        for (double at = random.exponential(1 / most); at < seconds; at += random.exponential(1 / most)) {
            // Thinned from the highest rate, so that a class's arrivals do not depend on the other classes.
            const bool isKept = random.unit() * most < it.perSecond * factorAt(workload, it, at);
            Arrival arrival;
            arrival.promptClass = i;
            arrival.at = MonoTime(std::chrono::duration_cast<MonoTime::duration>(std::chrono::duration<double>(at)));
            arrival.promptTokens = draw(it.prompt, random);
            arrival.outputTokens = draw(it.output, random);
            // The estimate is right at its median.
            const Size error{std::exp(it.estimateSpread * it.estimateSpread / 2), it.estimateSpread, 1e9};
            constexpr double scale = 1000;
            arrival.estimatedTokens = std::max(
                1.0, arrival.outputTokens * draw({error.mean * scale, error.spread, error.most}, random) / scale);
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
