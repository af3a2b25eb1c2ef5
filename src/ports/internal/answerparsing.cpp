// Parses the platform's JSON. Unknown keys are ignored, as the platform may add some.
#include "ports/internal/answerparsing.h"

#include "settings/jsondocument.h"
#include "settings/objectreader.h"
#include "settings/socketaddress.h"
#include "settings/types/checkfailure.h"

#include <algorithm>
#include <limits>

namespace magnolia::ports
{

namespace
{

using nlohmann::json;
using settings::IntegerRange;
using settings::ObjectReader;
using settings::Problem;

constexpr IntegerRange revisionRange{1, std::numeric_limits<std::int64_t>::max()};
constexpr IntegerRange nonNegativeRange{0, std::numeric_limits<std::int64_t>::max()};

tl::unexpected<Error> makeMalformedError(std::vector<Problem> problems)
{
    return tl::unexpected(toError(settings::CheckFailure{ResultCode::PlatformMalformed, std::move(problems)}));
}

std::map<std::string, std::string> readValues(const json &value, std::vector<Problem> &problems)
{
    std::map<std::string, std::string> values;
    ObjectReader reader(value, "values", problems);
    if (!reader.isObject()) {
        return values;
    }
    for (const auto &[key, text] : value.items()) {
        values.emplace(key, reader.findString(key).value_or(""));
    }
    return values;
}

InstanceRole readRole(ObjectReader &reader)
{
    const std::string role = reader.requireString("role");
    if (role == "engine") {
        return InstanceRole::Engine;
    }
    if (role == "service") {
        return InstanceRole::Service;
    }
    if (role != "entry") {
        reader.addProblem("role", "must be entry, engine or service, is \"" + role + "\"");
    }
    return InstanceRole::Entry;
}

bool readIsLeaving(ObjectReader &reader)
{
    const std::string state = reader.requireString("state");
    if (state != "live" && state != "leaving") {
        reader.addProblem("state", "must be live or leaving, is \"" + state + "\"");
    }
    return state == "leaving";
}

void checkAddress(ObjectReader &reader, std::string_view key, const std::string &address)
{
    if (!settings::parseSocketAddress(address)) {
        reader.addProblem(key, "must be ip:port, is \"" + address + "\"");
    }
}

PublishedInstance readInstance(const json &value, const std::string &path, std::vector<Problem> &problems)
{
    ObjectReader reader(value, path, problems);
    PublishedInstance instance;
    instance.id = reader.requireString("id");
    instance.role = readRole(reader);
    instance.isLeaving = readIsLeaving(reader);
    instance.dataCentre = DataCentreId(reader.requireString("data_centre"));
    instance.address = reader.requireString("address");
    checkAddress(reader, "address", instance.address);
    instance.peerAddress = reader.findString("peer_address").value_or("");
    if (instance.role == InstanceRole::Entry) {
        checkAddress(reader, "peer_address", instance.peerAddress);
    }
    instance.serves = reader.findStrings("serves");
    instance.memory = Tokens(reader.findInteger("memory_tokens", nonNegativeRange, 0));
    instance.checksFencing = reader.find("checks_fencing") != nullptr && reader.requireBool("checks_fencing");
    return instance;
}

void readInstances(const json &value, ListAnswer &answer)
{
    std::set<std::string> ids;
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string path = settings::elementPath("instances", i);
        std::vector<Problem> problems;
        PublishedInstance instance = readInstance(value[i], path, problems);
        if (problems.empty() && !ids.insert(instance.id).second) {
            problems.push_back({path, "id " + instance.id + " occurs more than once"});
        }
        if (problems.empty()) {
            answer.list.instances.push_back(std::move(instance));
        } else {
            answer.rejectedRows.insert(answer.rejectedRows.end(), problems.begin(), problems.end());
        }
    }
    std::sort(answer.list.instances.begin(), answer.list.instances.end(),
        [](const PublishedInstance &a, const PublishedInstance &b) {
            return a.id < b.id;
        });
}

} // namespace

Result<ConfigurationSnapshot> parseConfigurationAnswer(std::string_view body)
{
    settings::JsonDocument document = settings::parseJson(body);
    if (!document.isReadable()) {
        return makeMalformedError(std::move(document.problems));
    }
    ConfigurationSnapshot snapshot;
    ObjectReader reader(document.root, "", document.problems);
    snapshot.revision = Revision(reader.requireInteger("revision", revisionRange));
    if (const json *values = reader.require("values")) {
        snapshot.values = readValues(*values, document.problems);
    }
    if (!document.problems.empty()) {
        return makeMalformedError(std::move(document.problems));
    }
    return snapshot;
}

Result<ListAnswer> parseListAnswer(std::string_view body)
{
    settings::JsonDocument document = settings::parseJson(body);
    if (!document.isReadable()) {
        return makeMalformedError(std::move(document.problems));
    }
    ListAnswer answer;
    ObjectReader reader(document.root, "", document.problems);
    answer.list.revision = reader.requireInteger("revision", revisionRange);
    answer.list.generatedAt = WallTime(Milliseconds(reader.requireInteger("generated_at_ms", nonNegativeRange)));
    const json *instances = reader.require("instances");
    if (instances != nullptr && !instances->is_array()) {
        reader.addProblem("instances", "must be an array");
    }
    if (!document.problems.empty()) {
        return makeMalformedError(std::move(document.problems));
    }
    readInstances(*instances, answer);
    return answer;
}

} // namespace magnolia::ports
