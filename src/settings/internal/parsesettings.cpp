// Parses and checks the settings section by section.
#include "settings/jsondocument.h"
#include "settings/objectreader.h"
#include "settings/settings.h"
#include "settings/socketaddress.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

namespace magnolia::settings
{

namespace
{

using Json = nlohmann::json;
using Problems = std::vector<Problem>;

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t minSecretLength = 32;
constexpr std::size_t maxSecretLength = 256;
constexpr std::size_t maxPeerKeys = 8;
constexpr std::uint64_t bytesPerMebibyte = 1024 * 1024;
constexpr std::uint64_t millisecondsPerHour = 3'600'000;

constexpr IntegerRange keyIdRange{1, 65535};
constexpr IntegerRange maxOpenRequestsRange{1, 100'000};
constexpr IntegerRange maxBodySizeRange{1024, 1024 * bytesPerMebibyte};
constexpr IntegerRange maxHeaderSizeRange{1024, bytesPerMebibyte};
constexpr IntegerRange maxHeaderFieldsRange{8, 1000};
constexpr IntegerRange requestReadTimeoutMsRange{100, millisecondsPerHour};
constexpr IntegerRange upstreamSilenceTimeoutMsRange{100, millisecondsPerHour};
constexpr IntegerRange locateTtlMsRange{100, millisecondsPerHour};
constexpr IntegerRange maxDrainTimeMsRange{0, 24 * millisecondsPerHour};
constexpr IntegerRange requestsPerMinuteRange{1, 1'000'000};

constexpr std::array logLevels{"debug", "info", "warning", "error"};

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
        || c == '-';
}

std::string readName(ObjectReader &reader, std::string_view key)
{
    std::string name = reader.requireString(key);
    if (name.size() > maxNameLength || !std::all_of(name.begin(), name.end(), isNameCharacter)) {
        reader.addProblem(key, "must be 1 to 64 characters from A-Z a-z 0-9 . _ -, is \"" + name + "\"");
    }
    return name;
}

std::string invalidAddressText(const std::string &text)
{
    return "must be ip:port with a numeric IP address and a port from 1 to 65535, for example 10.0.0.7:8080 or "
           "[fd00::7]:8080, is \""
        + text + "\"";
}

std::string readAddress(ObjectReader &reader, std::string_view key)
{
    std::string text = reader.requireString(key);
    if (!text.empty() && !parseSocketAddress(text)) {
        reader.addProblem(key, invalidAddressText(text));
    }
    return text;
}

std::vector<std::string> readAddresses(ObjectReader &reader, std::string_view key)
{
    reader.require(key);
    std::vector<std::string> texts = reader.findStrings(key);
    const Json *value = reader.find(key);
    if (value != nullptr && value->is_array() && value->empty()) {
        reader.addProblem(key, "must contain at least one ip:port");
    }
    for (auto it = texts.begin(); it != texts.end(); ++it) {
        if (!parseSocketAddress(*it)) {
            reader.addProblem(key, invalidAddressText(*it));
        } else if (std::find(texts.begin(), it, *it) != it) {
            reader.addProblem(key, "duplicate address " + *it + "; list each replica once");
        }
    }
    return texts;
}

std::optional<TlsFiles> readTls(ObjectReader &parent, Problems &problems)
{
    const Json *value = parent.find("tls");
    if (value == nullptr) {
        return std::nullopt;
    }
    ObjectReader reader(*value, parent.path("tls"), problems);
    TlsFiles files{reader.requireString("certificate"), reader.requireString("key")};
    reader.reportUnknownKeys();
    return files;
}

CallerSettings readCaller(const Json &value, const std::string &path, Problems &problems)
{
    ObjectReader reader(value, path, problems);
    CallerSettings caller;
    caller.address = readAddress(reader, "address");
    caller.advertisedAddress = caller.address;
    const bool hasAdvertisedAddress = reader.find("advertise") != nullptr;
    if (hasAdvertisedAddress) {
        caller.advertisedAddress = readAddress(reader, "advertise");
    }
    const auto advertised = parseSocketAddress(caller.advertisedAddress);
    if (advertised && isWildcard(*advertised)) {
        reader.addProblem("advertise", "must be an address that callers can reach, since address is a wildcard");
    }
    caller.tls = readTls(reader, problems);
    reader.reportUnknownKeys();
    return caller;
}

OperatorSettings readOperator(const Json &value, const std::string &path, Problems &problems)
{
    ObjectReader reader(value, path, problems);
    OperatorSettings operators;
    operators.address = readAddress(reader, "address");
    operators.tls = readTls(reader, problems);
    reader.reportUnknownKeys();
    return operators;
}

PeerKey readPeerKey(const Json &value, const std::string &path, Problems &problems)
{
    ObjectReader reader(value, path, problems);
    PeerKey key;
    key.id = static_cast<std::uint32_t>(reader.requireInteger("id", keyIdRange));
    key.secret = reader.requireString("secret");
    // The message must not contain the secret.
    if (!key.secret.empty() && (key.secret.size() < minSecretLength || key.secret.size() > maxSecretLength)) {
        reader.addProblem("secret", "must have 32 to 256 characters, has " + std::to_string(key.secret.size()));
    }
    reader.reportUnknownKeys();
    return key;
}

std::vector<PeerKey> readPeerKeys(ObjectReader &parent, Problems &problems)
{
    std::vector<PeerKey> keys;
    const Json *value = parent.require("keys");
    if (value == nullptr) {
        return keys;
    }
    if (!value->is_array() || value->empty() || value->size() > maxPeerKeys) {
        parent.addProblem("keys", "must be an array of 1 to 8 keys, each {\"id\", \"secret\"}");
        return keys;
    }
    std::set<std::uint32_t> ids;
    for (std::size_t i = 0; i < value->size(); ++i) {
        const std::string path = elementPath(parent.path("keys"), i);
        keys.push_back(readPeerKey((*value)[i], path, problems));
        if (!ids.insert(keys.back().id).second) {
            problems.push_back({childPath(path, "id"), "duplicate id; each key needs its own id"});
        }
    }
    return keys;
}

PeerSettings readPeer(const Json &value, const std::string &path, Problems &problems)
{
    ObjectReader reader(value, path, problems);
    PeerSettings peer;
    peer.address = readAddress(reader, "address");
    const auto address = parseSocketAddress(peer.address);
    if (address && isWildcard(*address)) {
        reader.addProblem("address", "must be an address that other instances can reach, not a wildcard");
    }
    peer.keys = readPeerKeys(reader, problems);
    peer.sendKey = static_cast<std::uint32_t>(reader.requireInteger("sendKey", keyIdRange));
    const bool isKnown = std::any_of(peer.keys.begin(), peer.keys.end(), [&peer](const PeerKey &key) {
        return key.id == peer.sendKey;
    });
    if (!peer.keys.empty() && !isKnown) {
        reader.addProblem("sendKey", "must be the id of one of peer.keys");
    }
    reader.reportUnknownKeys();
    return peer;
}

PlatformSettings readPlatform(const Json &value, const std::string &path, Problems &problems)
{
    ObjectReader reader(value, path, problems);
    PlatformSettings platform;
    platform.configuration = readAddresses(reader, "configuration");
    platform.instances = readAddresses(reader, "instances");
    if (reader.find("weightStore") != nullptr) {
        platform.weightStore = readAddress(reader, "weightStore");
    }
    reader.reportUnknownKeys();
    return platform;
}

LogSettings readLog(const Json &value, const std::string &path, Problems &problems)
{
    ObjectReader reader(value, path, problems);
    LogSettings log;
    log.level = reader.findString("level").value_or(log.level);
    if (std::find(logLevels.begin(), logLevels.end(), log.level) == logLevels.end()) {
        reader.addProblem("level", "must be one of debug, info, warning, error, is \"" + log.level + "\"");
    }
    log.file = reader.findString("file").value_or("");
    reader.reportUnknownKeys();
    return log;
}

Limits readLimits(const Json &value, const std::string &path, Problems &problems)
{
    ObjectReader reader(value, path, problems);
    Limits limits;
    limits.maxOpenRequests
        = static_cast<std::uint32_t>(reader.findInteger("maxStreams", maxOpenRequestsRange, limits.maxOpenRequests));
    limits.maxBodySize = Bytes(reader.findInteger("maxBodyBytes", maxBodySizeRange, limits.maxBodySize.count()));
    limits.maxHeaderSize
        = Bytes(reader.findInteger("maxHeaderBytes", maxHeaderSizeRange, limits.maxHeaderSize.count()));
    limits.maxHeaderFields
        = static_cast<std::uint32_t>(reader.findInteger("maxHeaders", maxHeaderFieldsRange, limits.maxHeaderFields));
    limits.requestReadTimeout
        = reader.findDuration("requestReadMs", requestReadTimeoutMsRange, limits.requestReadTimeout);
    limits.upstreamSilenceTimeout
        = reader.findDuration("upstreamSilenceMs", upstreamSilenceTimeoutMsRange, limits.upstreamSilenceTimeout);
    limits.locateTtl = reader.findDuration("locateTtlMs", locateTtlMsRange, limits.locateTtl);
    limits.maxDrainTime = reader.findDuration("drainMs", maxDrainTimeMsRange, limits.maxDrainTime);
    reader.reportUnknownKeys();
    return limits;
}

WeightStoreSettings readWeightStore(const Json &value, const std::string &path, Problems &problems)
{
    ObjectReader reader(value, path, problems);
    WeightStoreSettings weightStore;
    weightStore.requestsPerMinute = static_cast<std::uint32_t>(
        reader.findInteger("requestsPerMinute", requestsPerMinuteRange, weightStore.requestsPerMinute));
    reader.reportUnknownKeys();
    return weightStore;
}

/** A listener's address and the path of that setting. */
struct Listener
{
    std::string path;
    std::string address;
};

void checkListeners(const Settings &settings, Problems &problems)
{
    const std::array listeners{Listener{"caller.address", settings.caller.address},
        Listener{"operator.address", settings.operators.address}, Listener{"peer.address", settings.peer.address}};
    for (std::size_t i = 0; i < listeners.size(); ++i) {
        for (std::size_t k = 0; k < i; ++k) {
            const auto a = parseSocketAddress(listeners[i].address);
            const auto b = parseSocketAddress(listeners[k].address);
            if (a && b && areConflicting(*a, *b)) {
                problems.push_back({listeners[i].path,
                    "duplicate address " + listeners[i].address + ", the same as " + listeners[k].path
                        + "; give each listener its own port"});
            }
        }
    }
}

Settings readRoot(const Json &root, Problems &problems)
{
    ObjectReader reader(root, "", problems);
    Settings settings;
    settings.instance = InstanceId(readName(reader, "instance"));
    settings.dataCentre = DataCentreId(readName(reader, "dataCentre"));
    if (const Json *value = reader.require("caller")) {
        settings.caller = readCaller(*value, "caller", problems);
    }
    if (const Json *value = reader.require("operator")) {
        settings.operators = readOperator(*value, "operator", problems);
    }
    if (const Json *value = reader.require("peer")) {
        settings.peer = readPeer(*value, "peer", problems);
    }
    if (const Json *value = reader.require("platform")) {
        settings.platform = readPlatform(*value, "platform", problems);
    }
    if (const Json *value = reader.find("log")) {
        settings.log = readLog(*value, "log", problems);
    }
    if (const Json *value = reader.find("limits")) {
        settings.limits = readLimits(*value, "limits", problems);
    }
    if (const Json *value = reader.find("weightStore")) {
        settings.weightStore = readWeightStore(*value, "weightStore", problems);
    }
    reader.reportUnknownKeys();
    checkListeners(settings, problems);
    return settings;
}

} // namespace

Checked<Settings> parseSettings(std::string_view text)
{
    JsonDocument document = parseJson(text);
    Settings settings;
    if (document.isReadable()) {
        settings = readRoot(document.root, document.problems);
    }
    if (!document.problems.empty()) {
        return tl::unexpected(CheckFailure{ResultCode::SettingsInvalid, std::move(document.problems)});
    }
    return settings;
}

Checked<Settings> readSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file) {
        return tl::unexpected(CheckFailure{ResultCode::SettingsUnreadable, {{"", "cannot read the file " + path}}});
    }
    return parseSettings(text);
}

} // namespace magnolia::settings
