// The check of a published configuration, key by key.
#include "configuration/parseconfiguration.h"

#include "settings/jsondocument.h"
#include "settings/objectreader.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace magnolia::configuration
{

namespace
{

using nlohmann::json;
using settings::IntegerRange;
using settings::ObjectReader;
using settings::Problem;
using Problems = std::vector<Problem>;

constexpr std::size_t largestValueBytes = 1024 * 1024;
constexpr std::size_t longestName = 128;
constexpr std::size_t keyHashLength = 64;
constexpr std::size_t mostKeyHashes = 16;
constexpr IntegerRange firstTokenMsRange{1, 3'600'000};
constexpr IntegerRange finishMsRange{1, 24 * 3'600'000};

constexpr std::string_view classesKey = "classes";
constexpr std::string_view modelsKey = "models";
constexpr std::string_view organisationsKey = "organisations";
constexpr std::string_view organisationsPrefix = "organisations/";

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
        || c == '-' || c == '/' || c == ':';
}

bool isName(const std::string &name)
{
    return !name.empty() && name.size() <= longestName && std::all_of(name.begin(), name.end(), isNameCharacter);
}

std::string wrongName(const std::string &name)
{
    return "must be 1 to 128 characters of A-Z a-z 0-9 . _ - / :, is \"" + name + "\"";
}

std::string readName(ObjectReader &reader)
{
    std::string name = reader.requireString("name");
    if (!name.empty() && !isName(name)) {
        reader.addProblem("name", wrongName(name));
    }
    return name;
}

bool isKeyHash(const std::string &text)
{
    return text.size() == keyHashLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
}

WorkKind readKind(ObjectReader &reader)
{
    const std::string kind = reader.requireString("kind");
    if (kind != "model" && kind != "service" && !kind.empty()) {
        reader.addProblem("kind", "must be model or service, is \"" + kind + "\"");
    }
    return kind == "service" ? WorkKind::Service : WorkKind::Model;
}

ClassOfWork readClass(const json &value, const std::string &path, Problems &problems)
{
    ObjectReader reader(value, path, problems);
    ClassOfWork work;
    work.id = ClassId(readName(reader));
    work.kind = readKind(reader);
    work.firstToken = Milliseconds(reader.requireInteger("first_token_ms", firstTokenMsRange));
    work.finish = Milliseconds(reader.requireInteger("finish_ms", finishMsRange));
    work.isIdempotent = reader.requireBool("idempotent");
    if (work.finish < work.firstToken && reader.find("finish_ms") != nullptr) {
        reader.addProblem("finish_ms", "must not be below first_token_ms");
    }
    reader.reportUnknownKeys();
    return work;
}

Organisation readOrganisation(const json &value, const std::string &path, Problems &problems)
{
    ObjectReader reader(value, path, problems);
    Organisation organisation;
    organisation.id = OrganisationId(readName(reader));
    organisation.keyHashes = reader.findStrings("key_hashes");
    // The text itself is not repeated: it may be a key put there by mistake.
    if (!std::all_of(organisation.keyHashes.begin(), organisation.keyHashes.end(), isKeyHash)) {
        reader.addProblem("key_hashes", "each must be a SHA-256 in 64 lower-case hex digits");
    }
    if (organisation.keyHashes.size() > mostKeyHashes) {
        reader.addProblem("key_hashes", "must be at most 16");
    }
    reader.reportUnknownKeys();
    return organisation;
}

/** The array that a key's value holds; empty where it holds none, with the problems noted under the key. */
json readArray(const std::string &key, const std::string &text, Problems &problems)
{
    if (text.size() > largestValueBytes) {
        problems.push_back({key, "must be at most 1048576 bytes, has " + std::to_string(text.size())});
        return json::array();
    }
    settings::JsonDocument document = settings::parseJson(text);
    for (Problem &problem : document.problems) {
        problems.push_back({key + problem.path, std::move(problem.text)});
    }
    if (!document.isReadable()) {
        return json::array();
    }
    if (!document.root.is_array()) {
        problems.push_back({key, std::string("must be an array, is ") + document.root.type_name()});
        return json::array();
    }
    return std::move(document.root);
}

void readClasses(const std::string &key, const std::string &text, Configuration &configuration, Problems &problems)
{
    const json array = readArray(key, text, problems);
    for (std::size_t i = 0; i < array.size(); ++i) {
        const std::string path = settings::elementPath(key, i);
        ClassOfWork work = readClass(array[i], path, problems);
        const ClassId id = work.id;
        if (!configuration.classes.emplace(id, std::move(work)).second && !id.isEmpty()) {
            problems.push_back({path + ".name", "class " + id.value() + " stands twice"});
        }
    }
}

void readOrganisations(
    const std::string &key, const std::string &text, Configuration &configuration, Problems &problems)
{
    const json array = readArray(key, text, problems);
    for (std::size_t i = 0; i < array.size(); ++i) {
        const std::string path = settings::elementPath(key, i);
        Organisation organisation = readOrganisation(array[i], path, problems);
        const OrganisationId id = organisation.id;
        if (!configuration.organisations.emplace(id, std::move(organisation)).second && !id.isEmpty()) {
            problems.push_back({path + ".name", "organisation " + id.value() + " stands twice"});
        }
    }
}

void readModels(const std::string &key, const std::string &text, Configuration &configuration, Problems &problems)
{
    const json array = readArray(key, text, problems);
    for (std::size_t i = 0; i < array.size(); ++i) {
        const std::string path = settings::elementPath(key, i);
        if (!array[i].is_string() || !isName(array[i].get<std::string>())) {
            problems.push_back({path, "must be the name of a model"});
        } else if (!configuration.models.insert(ModelId(array[i].get<std::string>())).second) {
            problems.push_back({path, "model " + array[i].get<std::string>() + " stands twice"});
        }
    }
}

/** The number behind `organisations/`, without leading zeros. */
std::optional<std::size_t> partNumber(std::string_view key)
{
    const std::string_view digits = key.substr(organisationsPrefix.size());
    std::size_t number = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (ec != std::errc() || end != digits.data() + digits.size() || std::to_string(number) != digits) {
        return std::nullopt;
    }
    return number;
}

// A missing part would silently take its organisations away, so the parts must be 0, 1, ... without a gap.
void checkParts(const ConfigurationSnapshot &snapshot, Problems &problems)
{
    const bool isWhole = snapshot.values.contains(std::string(organisationsKey));
    std::size_t parts = 0;
    std::size_t highest = 0;
    for (const auto &[key, text] : snapshot.values) {
        if (!key.starts_with(organisationsPrefix)) {
            continue;
        }
        const auto number = partNumber(key);
        if (!number) {
            problems.push_back({key, "must end in the number of the part, as in organisations/0"});
            continue;
        }
        ++parts;
        highest = std::max(highest, *number);
    }
    if (isWhole && parts > 0) {
        problems.push_back({std::string(organisationsKey), "stands beside organisations/0; publish one form only"});
    }
    if (!isWhole && parts == 0) {
        problems.push_back({std::string(organisationsKey), "is missing"});
    }
    if (parts > 0 && highest + 1 != parts) {
        problems.push_back({std::string(organisationsPrefix) + std::to_string(highest),
            "parts must be numbered from 0 without a gap; there are " + std::to_string(parts)});
    }
}

void readKey(const std::string &key, const std::string &text, Configuration &configuration, Problems &problems)
{
    if (key == classesKey) {
        readClasses(key, text, configuration, problems);
    } else if (key == modelsKey) {
        readModels(key, text, configuration, problems);
    } else if (key == organisationsKey || key.starts_with(organisationsPrefix)) {
        readOrganisations(key, text, configuration, problems);
    } else {
        problems.push_back({key, "unknown key; known here: classes, models, organisations, organisations/0, ..."});
    }
}

} // namespace

settings::Checked<Configuration> parseConfiguration(const ConfigurationSnapshot &snapshot)
{
    Problems problems;
    Configuration configuration;
    configuration.revision = snapshot.revision;
    if (snapshot.revision == Revision()) {
        problems.push_back({"revision", "must be above 0"});
    }
    for (const std::string_view key : {classesKey, modelsKey}) {
        if (!snapshot.values.contains(std::string(key))) {
            problems.push_back({std::string(key), "is missing"});
        }
    }
    checkParts(snapshot, problems);
    for (const auto &[key, text] : snapshot.values) {
        readKey(key, text, configuration, problems);
    }
    if (!problems.empty()) {
        return tl::unexpected(settings::CheckFailure{ResultCode::ConfigurationInvalid, std::move(problems)});
    }
    return configuration;
}

} // namespace magnolia::configuration
