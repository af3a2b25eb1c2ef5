// Parsing and validation of a published configuration, key by key.
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

constexpr std::size_t maxValueBytes = 1024 * 1024;
constexpr std::size_t maxNameLength = 128;
constexpr std::size_t keyHashLength = 64;
constexpr std::size_t maxKeyHashes = 16;
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

bool isValidName(const std::string &name)
{
    return !name.empty() && name.size() <= maxNameLength && std::all_of(name.begin(), name.end(), isNameCharacter);
}

std::string invalidNameMessage(const std::string &name)
{
    return "must be 1 to 128 characters of A-Z a-z 0-9 . _ - / :, is \"" + name + "\"";
}

std::string readName(ObjectReader &reader)
{
    std::string name = reader.requireString("name");
    if (!name.empty() && !isValidName(name)) {
        reader.addProblem("name", invalidNameMessage(name));
    }
    return name;
}

bool isKeyHash(const std::string &text)
{
    return text.size() == keyHashLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
}

RequestKind readKind(ObjectReader &reader)
{
    const std::string kind = reader.requireString("kind");
    if (kind != "model" && kind != "service" && !kind.empty()) {
        reader.addProblem("kind", "must be model or service, is \"" + kind + "\"");
    }
    return kind == "service" ? RequestKind::Service : RequestKind::Model;
}

RequestClass readClass(const json &value, const std::string &path, Problems &problems)
{
    ObjectReader reader(value, path, problems);
    RequestClass requestClass;
    requestClass.id = ClassId(readName(reader));
    requestClass.kind = readKind(reader);
    requestClass.firstTokenTarget = Milliseconds(reader.requireInteger("first_token_ms", firstTokenMsRange));
    requestClass.finishTarget = Milliseconds(reader.requireInteger("finish_ms", finishMsRange));
    requestClass.isIdempotent = reader.requireBool("idempotent");
    if (requestClass.finishTarget < requestClass.firstTokenTarget && reader.find("finish_ms") != nullptr) {
        reader.addProblem("finish_ms", "must not be below first_token_ms");
    }
    reader.reportUnknownKeys();
    return requestClass;
}

Organisation readOrganisation(const json &value, const std::string &path, Problems &problems)
{
    ObjectReader reader(value, path, problems);
    Organisation organisation;
    organisation.id = OrganisationId(readName(reader));
    if (reader.find("key_hashes") != nullptr) {
        const std::vector<std::string> hashes = reader.findStrings("key_hashes");
        // The message omits the text, since it may be an API key that was published by mistake.
        if (!std::all_of(hashes.begin(), hashes.end(), isKeyHash)) {
            reader.addProblem("key_hashes", "each must be a SHA-256 hash of 64 lower-case hex digits");
        }
        if (hashes.size() > maxKeyHashes) {
            reader.addProblem("key_hashes", "must have at most 16 entries");
        }
        organisation.keyHashes = hashes;
    }
    reader.reportUnknownKeys();
    return organisation;
}

/** Parses the value of `key` as an array. Returns an empty array on failure and adds the problems under `key`. */
json readArray(const std::string &key, const std::string &text, Problems &problems)
{
    if (text.size() > maxValueBytes) {
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
        RequestClass requestClass = readClass(array[i], path, problems);
        const ClassId id = requestClass.id;
        if (!configuration.classes.emplace(id, std::move(requestClass)).second && !id.isEmpty()) {
            problems.push_back({path + ".name", "class " + id.value() + " is listed twice"});
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
            problems.push_back({path + ".name", "organisation " + id.value() + " is listed twice"});
        }
    }
}

void readModels(const std::string &key, const std::string &text, Configuration &configuration, Problems &problems)
{
    const json array = readArray(key, text, problems);
    for (std::size_t i = 0; i < array.size(); ++i) {
        const std::string path = settings::elementPath(key, i);
        if (!array[i].is_string() || !isValidName(array[i].get<std::string>())) {
            problems.push_back({path, "must be the name of a model: 1 to 128 characters of A-Z a-z 0-9 . _ - / :"});
        } else if (!configuration.models.insert(ModelId(array[i].get<std::string>())).second) {
            problems.push_back({path, "model " + array[i].get<std::string>() + " is listed twice"});
        }
    }
}

/** Returns the number after `organisations/`; empty if there is no number or it has leading zeros. */
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

// The parts must be numbered 0, 1, ... without gaps: a missing part would silently remove its organisations.
void checkOrganisationParts(const ConfigurationSnapshot &snapshot, Problems &problems)
{
    const bool hasSingleKey = snapshot.values.contains(std::string(organisationsKey));
    std::size_t partCount = 0;
    std::size_t highestNumber = 0;
    for (const auto &[key, text] : snapshot.values) {
        if (!key.starts_with(organisationsPrefix)) {
            continue;
        }
        const auto number = partNumber(key);
        if (!number) {
            problems.push_back({key, "must end in a part number without leading zeros, as in organisations/0"});
            continue;
        }
        ++partCount;
        highestNumber = std::max(highestNumber, *number);
    }
    if (hasSingleKey && partCount > 0) {
        problems.push_back({std::string(organisationsKey),
            "conflicts with organisations/0, ...; publish either the single key or the numbered parts"});
    }
    if (!hasSingleKey && partCount == 0) {
        problems.push_back({std::string(organisationsKey), "is missing"});
    }
    if (partCount > 0 && highestNumber + 1 != partCount) {
        problems.push_back({std::string(organisationsPrefix) + std::to_string(highestNumber),
            "parts must be numbered from 0 without gaps; number of parts: " + std::to_string(partCount)});
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
        problems.push_back({key, "unknown key; known keys: classes, models, organisations, organisations/0, ..."});
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
    checkOrganisationParts(snapshot, problems);
    for (const auto &[key, text] : snapshot.values) {
        readKey(key, text, configuration, problems);
    }
    if (!problems.empty()) {
        return tl::unexpected(settings::CheckFailure{ResultCode::ConfigurationInvalid, std::move(problems)});
    }
    return configuration;
}

} // namespace magnolia::configuration
