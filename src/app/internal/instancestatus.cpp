// The status of an instance as JSON.
#include "app/internal/instancestatus.h"

#include <nlohmann/json.hpp>

namespace magnolia::app
{

namespace
{

using Json = nlohmann::ordered_json;

Json peerRows(const MembershipView &view, MonoTime now)
{
    Json rows = Json::array();
    for (const auto &[id, peer] : view.peers) {
        rows.push_back({{"id", id.value()}, {"state", toString(peer.state)}, {"incarnation", peer.incarnation.count()},
            {"since_ms", toMilliseconds(now - peer.since).count()}});
    }
    return rows;
}

Json upstreamRows(const Blackboard &blackboard, MonoTime now)
{
    const auto list = blackboard.publishedList.read();
    const auto load = blackboard.load.read();
    const auto health = blackboard.health.read();
    const auto view = blackboard.membership.read();
    Json rows = Json::array();
    for (const PublishedInstance &instance : list->instances) {
        if (instance.role == InstanceRole::Entry) {
            continue;
        }
        const auto loadIt = load->upstreams.find(UpstreamId(instance.id));
        const auto healthIt = health->upstreams.find(UpstreamId(instance.id));
        const bool isLeaving = instance.isLeaving || view->leavingUpstreams.contains(UpstreamId(instance.id))
            || (healthIt != health->upstreams.end() && healthIt->second.isLeaving);
        const bool isAvoided = healthIt != health->upstreams.end() && healthIt->second.avoidUntil > now;
        Json row{{"id", instance.id}, {"address", instance.address},
            {"state",
                isLeaving       ? "leaving"
                    : isAvoided ? "avoided"
                                : "live"}};
        const bool hasLoad = loadIt != load->upstreams.end();
        row["running"] = hasLoad ? Json(loadIt->second.running) : Json("-");
        row["waiting"] = hasLoad ? Json(loadIt->second.waiting) : Json("-");
        row["free_tokens"] = hasLoad ? Json(loadIt->second.freeMemory.count()) : Json("-");
        row["report_age_ms"] = hasLoad ? Json(toMilliseconds(now - loadIt->second.measuredAt).count()) : Json("-");
        rows.push_back(row);
    }
    return rows;
}

Json classRows(const Configuration &configuration)
{
    Json rows = Json::array();
    for (const auto &[id, requestClass] : configuration.classes) {
        rows.push_back({{"id", id.value()}, {"kind", requestClass.kind == RequestKind::Model ? "model" : "service"},
            {"first_token_ms", requestClass.firstTokenTarget.count()}, {"finish_ms", requestClass.finishTarget.count()},
            {"idempotent", requestClass.isIdempotent}});
    }
    return rows;
}

} // namespace

std::string statusJson(const StatusHead &head, const Blackboard &blackboard, MonoTime now)
{
    const auto configuration = blackboard.configuration.read();
    const auto list = blackboard.publishedList.read();
    Json status;
    status["instance"] = head.instance;
    status["incarnation"] = head.incarnation;
    status["data_centre"] = head.dataCentre;
    status["state"] = head.state;
    status["open_requests"] = head.openRequests;
    status["pending_cancels"] = head.pendingCancels;
    status["configuration_revision"] = configuration->revision.count();
    status["organisations"] = configuration->organisations.size();
    status["list_revision"] = list->revision;
    status["list_age_ms"] = list->revision == 0 ? Json("-") : Json(toMilliseconds(now - list->readAt).count());
    status["peers"] = peerRows(*blackboard.membership.read(), now);
    status["upstreams"] = upstreamRows(blackboard, now);
    status["classes"] = classRows(*configuration);
    return status.dump();
}

} // namespace magnolia::app
