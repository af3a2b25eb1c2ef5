// Changes to members, shared values and upstream reports.
#include "membership/internal/table.h"

#include "membership/internal/merge.h"

#include <algorithm>

namespace magnolia::membership
{
namespace
{

void recordStateChange(const InstanceId &id, Member &member, PeerState before, const ClockReading &now,
    std::string_view reason, MembershipOutput &output)
{
    const PeerState after = peerState(member);
    if (after == before) {
        return;
    }
    member.stateSince = now.monotonic;
    output.events.push_back({EventKind::MemberChanged, id.value(), before, after, member.record.incarnation, reason});
}

void startSuspicion(const MembershipParameters &parameters, Member &member, const ClockReading &now)
{
    member.suspicionDeadline = now.monotonic + parameters.suspicionTimeout;
    member.isLocalSuspicion = false;
    member.hasReprobeDecision = false;
    member.reprobeAt.reset();
}

void handleRecordOfSelf(MembershipState &state, const MemberRecord &received, MembershipOutput &output)
{
    MemberRecord &own = state.selfRecord;
    if (received.incarnation > own.incarnation) {
        own.incarnation = received.incarnation + Incarnation(1);
        output.events.push_back(
            {EventKind::IncarnationRaised, state.selfId.value(), {}, {}, own.incarnation, "higher one known"});
    } else if (received.incarnation == own.incarnation && received.status != MemberStatus::Alive
        && received.refutationNumber >= own.refutationNumber) {
        own.refutationNumber = received.refutationNumber + 1;
        output.events.push_back({EventKind::SelfRefuted, state.selfId.value(), {}, {}, own.incarnation,
            received.status == MemberStatus::Dead ? "held for dead" : "suspected"});
    } else {
        return;
    }
    enqueueUpdate(state, UpdateKind::Member, state.selfId.value());
}

bool isCurrent(const UpstreamReport &report, const ClockReading &now, const MembershipParameters &parameters)
{
    const std::int64_t nowMs = now.wall.time_since_epoch().count();
    return report.seenAtMs > nowMs - parameters.upstreamReportLifetime.count()
        && report.seenAtMs < nowMs + parameters.maxClockSkew.count();
}

bool canStoreReport(MembershipState &state, const UpstreamId &id)
{
    return state.upstreamReports.contains(id) || state.upstreamReports.size() < state.parameters.maxUpstreamReports;
}

} // namespace

bool isDead(const Member &member)
{
    return member.record.status == MemberStatus::Dead;
}

PeerState peerState(const Member &member)
{
    if (isDead(member)) {
        return PeerState::Dead;
    }
    if (member.record.isLeaving || member.isListedLeaving) {
        return PeerState::Leaving;
    }
    return member.record.status == MemberStatus::Suspect ? PeerState::Suspect : PeerState::Alive;
}

std::size_t liveMemberCount(const MembershipState &state)
{
    const auto peerCount = std::count_if(state.members.begin(), state.members.end(), [](const auto &entry) {
        return !isDead(entry.second);
    });
    return static_cast<std::size_t>(peerCount) + 1;
}

peerlink::PeerAddress addressOf(const InstanceId &id, const Member &member)
{
    return {id, member.record.peerAddress};
}

void enqueueUpdate(MembershipState &state, UpdateKind kind, const std::string &id)
{
    state.pendingUpdates[{kind, id}] = 0;
}

void setRecord(MembershipState &state, const InstanceId &id, const MemberRecord &record, const ClockReading &now,
    std::string_view reason, MembershipOutput &output)
{
    const auto [it, isNew] = state.members.try_emplace(id);
    Member &member = it->second;
    if (isNew) {
        member.record.status = MemberStatus::Dead;
    }
    const PeerState before = peerState(member);
    const bool isNewSuspicion = record.status == MemberStatus::Suspect && record != member.record;
    // A probe of the previous incarnation says nothing about the new one.
    if (record.incarnation != member.record.incarnation && state.currentProbe && state.currentProbe->target == id) {
        state.currentProbe.reset();
    }
    member.record = record;
    if (isNewSuspicion) {
        startSuspicion(state.parameters, member, now);
    }
    enqueueUpdate(state, UpdateKind::Member, id.value());
    recordStateChange(id, member, before, now, reason, output);
}

void applyMemberRecord(MembershipState &state, const InstanceId &id, const MemberRecord &record,
    const ClockReading &now, std::string_view reason, MembershipOutput &output)
{
    if (record.incarnation == Incarnation()) {
        return;
    }
    if (id == state.selfId) {
        handleRecordOfSelf(state, record, output);
        return;
    }
    const auto it = state.members.find(id);
    if (it == state.members.end()) {
        if (state.members.size() < state.parameters.maxMembers) {
            setRecord(state, id, record, now, reason, output);
        }
        return;
    }
    MemberRecord merged = it->second.record;
    if (mergeRecord(merged, record)) {
        setRecord(state, id, merged, now, reason, output);
    }
}

void applySharedUpdate(MembershipState &state, const SharedUpdate &update, MembershipOutput &output)
{
    const auto it = state.sharedValues.find(update.key);
    if (it == state.sharedValues.end() && state.sharedValues.size() >= state.parameters.maxSharedValues) {
        return;
    }
    if (mergeShared(state.sharedValues[update.key], update.value)) {
        enqueueUpdate(state, UpdateKind::Shared, update.key);
        output.events.push_back({EventKind::SharedValueChanged, update.key, {}, {}, {}, "heard"});
    }
}

void applyUpstreamUpdate(
    MembershipState &state, const UpstreamUpdate &update, const ClockReading &now, MembershipOutput &output)
{
    const MembershipParameters &parameters = state.parameters;
    if (!isCurrent(update.report, now, parameters) || !canStoreReport(state, update.id)) {
        return;
    }
    const auto [it, isNew] = state.upstreamReports.try_emplace(update.id);
    UpstreamReportEntry &entry = it->second;
    const bool wasLeaving = !isNew && entry.report.isLeaving;
    if (isNew) {
        entry.report = update.report;
    } else if (!mergeReport(entry.report, update.report, parameters.upstreamReturnMargin)) {
        return;
    }
    enqueueUpdate(state, UpdateKind::Upstream, update.id.value());
    if (entry.report.isLeaving == wasLeaving) {
        return;
    }
    entry.leavingSince = now.monotonic;
    output.events.push_back(
        {EventKind::UpstreamReportChanged, update.id.value(), {}, {}, {}, entry.report.isLeaving ? "leaving" : "back"});
}

void removeExpired(MembershipState &state, const ClockReading &now, MembershipOutput &output)
{
    const MembershipParameters &parameters = state.parameters;
    std::erase_if(state.members, [&](const auto &entry) {
        const Member &member = entry.second;
        const bool isExpired = now.monotonic - member.stateSince > parameters.deadMemberRetention;
        if (member.isListed || !isDead(member) || !isExpired) {
            return false;
        }
        output.events.push_back({EventKind::MemberRemoved, entry.first.value(), PeerState::Dead, PeerState::Dead,
            member.record.incarnation, "silent and not listed"});
        return true;
    });
    std::erase_if(state.upstreamReports, [&](const auto &entry) {
        if (isCurrent(entry.second.report, now, parameters)) {
            return false;
        }
        if (entry.second.report.isLeaving) {
            output.events.push_back(
                {EventKind::UpstreamReportChanged, entry.first.value(), {}, {}, {}, "report expired"});
        }
        return true;
    });
}

} // namespace magnolia::membership
