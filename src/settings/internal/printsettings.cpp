// Prints the resolved settings as JSON with masked secrets.
#include "settings/settings.h"

#include <nlohmann/json.hpp>

namespace magnolia::settings
{

namespace
{

using Json = nlohmann::ordered_json;

constexpr const char *mask = "********";
constexpr int indent = 4;

void addTls(Json &section, const std::optional<TlsFiles> &tls)
{
    if (tls) {
        section["tls"] = Json{{"certificate", tls->certificate}, {"key", tls->key}};
    }
}

Json toJson(const PeerSettings &peer)
{
    Json keys = Json::array();
    for (const PeerKey &key : peer.keys) {
        keys.push_back(Json{{"id", key.id}, {"secret", mask}});
    }
    return Json{{"address", peer.address}, {"keys", keys}, {"sendKey", peer.sendKey}};
}

Json toJson(const PlatformSettings &platform)
{
    Json section{{"configuration", platform.configuration}, {"instances", platform.instances}};
    if (platform.weightStore) {
        section["weightStore"] = *platform.weightStore;
    }
    return section;
}

Json toJson(const Limits &limits)
{
    return Json{{"maxStreams", limits.maxOpenRequests}, {"maxBodyBytes", limits.maxBodySize.count()},
        {"maxHeaderBytes", limits.maxHeaderSize.count()}, {"maxHeaders", limits.maxHeaderFields},
        {"requestReadMs", limits.requestReadTimeout.count()},
        {"upstreamSilenceMs", limits.upstreamSilenceTimeout.count()}, {"locateTtlMs", limits.locateTtl.count()},
        {"drainMs", limits.maxDrainTime.count()}};
}

} // namespace

std::string printSettings(const Settings &settings)
{
    Json root;
    root["instance"] = settings.instance.value();
    root["dataCentre"] = settings.dataCentre.value();
    root["caller"] = Json{{"address", settings.caller.address}, {"advertise", settings.caller.advertisedAddress}};
    addTls(root["caller"], settings.caller.tls);
    root["operator"] = Json{{"address", settings.operators.address}};
    addTls(root["operator"], settings.operators.tls);
    root["peer"] = toJson(settings.peer);
    root["platform"] = toJson(settings.platform);
    root["log"] = Json{{"level", settings.log.level}, {"file", settings.log.file}};
    root["limits"] = toJson(settings.limits);
    root["weightStore"] = Json{{"requestsPerMinute", settings.weightStore.requestsPerMinute}};
    return root.dump(indent, ' ', false, Json::error_handler_t::replace);
}

} // namespace magnolia::settings
