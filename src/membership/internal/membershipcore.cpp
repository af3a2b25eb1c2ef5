// Creation of the state, and changes requested by its owner.
#include "membership/membershipcore.h"

#include "membership/internal/table.h"

#include <set>

namespace magnolia::membership
{
namespace
{

void applyListedInstance(
    MembershipState &state, const PublishedInstance &instance, const ClockReading &now, MembershipOutput &output)
{
    const InstanceId id(instance.id);
    if (!state.members.contains(id) && state.members.size() >= state.parameters.maxMembers) {
        return;
    }
    const auto [it, isNew] = state.members.try_emplace(id);
    Member &member = it->second;
    if (isNew) {
        member.record.status = MemberStatus::Dead;
        member.stateSince = now.monotonic;
    }
    const PeerState before = peerState(member);
    member.isListed = true;
    member.isListedLeaving = instance.isLeaving;
    // A live member provides its own address; a dead one may have a new address in the list.
    if (isDead(member)) {
        member.record.peerAddress = instance.peerAddress;
    }
    if (peerState(member) != before) {
        member.stateSince = now.monotonic;
        output.events.push_back({EventKind::MemberChanged, id.value(), before, peerState(member),
            member.record.incarnation, "published list"});
    }
}

} // namespace

MembershipState makeMembershipState(const MembershipParameters &parameters, const InstanceId &self,
    Incarnation incarnation, const std::string &peerAddress)
{
    MembershipState state;
    state.parameters = parameters;
    state.selfId = self;
    state.selfRecord.incarnation = incarnation;
    state.selfRecord.peerAddress = peerAddress;
    return state;
}

MembershipOutput applyPublishedList(MembershipState &state, const PublishedList &list, const ClockReading &now)
{
    MembershipOutput output;
    if (list.revision < state.listRevision) {
        return output;
    }
    state.listRevision = list.revision;
    std::set<InstanceId> listed;
    for (const PublishedInstance &instance : list.instances) {
        const InstanceId id(instance.id);
        if (instance.role != InstanceRole::Entry || instance.peerAddress.empty() || id == state.selfId) {
            continue;
        }
        listed.insert(id);
        applyListedInstance(state, instance, now, output);
    }
    for (auto &[id, member] : state.members) {
        if (!listed.contains(id)) {
            // The list may lag behind: an unlisted member is kept while it is live, and removed only after its death.
            member.isListed = false;
            member.isListedLeaving = false;
        }
    }
    return output;
}

void announceLeave(MembershipState &state)
{
    if (!state.selfRecord.isLeaving) {
        state.selfRecord.isLeaving = true;
        enqueueUpdate(state, UpdateKind::Member, state.selfId.value());
    }
}

bool shareValue(MembershipState &state, const std::string &key, std::uint64_t version, const std::string &value)
{
    const MembershipParameters &parameters = state.parameters;
    if (key.empty() || key.size() > parameters.maxIdBytes || value.size() > parameters.maxSharedValueBytes) {
        return false;
    }
    if (!state.sharedValues.contains(key) && state.sharedValues.size() >= parameters.maxSharedValues) {
        return false;
    }
    MembershipOutput ignoredOutput;
    applySharedUpdate(state, {key, {version, value}}, ignoredOutput);
    return true;
}

MembershipOutput reportUpstream(
    MembershipState &state, const UpstreamId &upstream, bool isLeaving, const ClockReading &seenAt)
{
    MembershipOutput output;
    const UpstreamReport report{isLeaving, seenAt.wall.time_since_epoch().count()};
    const auto it = state.upstreamReports.find(upstream);
    const bool isRepeated = it != state.upstreamReports.end() && it->second.report.isLeaving == isLeaving
        && report.seenAtMs < it->second.report.seenAtMs + state.parameters.upstreamReportRefreshInterval.count();
    // A report that an upstream is not leaving only matters if it was reported as leaving.
    const bool isRedundant = it == state.upstreamReports.end() && !isLeaving;
    if (!isRepeated && !isRedundant && upstream.value().size() <= state.parameters.maxIdBytes) {
        applyUpstreamUpdate(state, {upstream, report}, seenAt, output);
    }
    return output;
}

MembershipView makeMembershipView(const MembershipState &state)
{
    MembershipView view;
    for (const auto &[id, member] : state.members) {
        view.peers.emplace(
            id, PeerView{peerState(member), member.record.incarnation, member.record.peerAddress, member.stateSince});
    }
    for (const auto &[id, entry] : state.upstreamReports) {
        if (entry.report.isLeaving) {
            view.leavingUpstreams.emplace(id, entry.leavingSince);
        }
    }
    return view;
}

} // namespace magnolia::membership
