// The joins: a total order of statements, and for leaving a flag that only ever rises within an incarnation.
#include "membership/internal/merge.h"

#include <tuple>

namespace magnolia::membership
{
namespace
{

auto rank(const MemberRecord &record)
{
    // The address is part of the order so that the join stays commutative, even if a member broke its promise not to
    // change its address within an incarnation.
    return std::tie(record.incarnation, record.refutationNumber, record.status, record.peerAddress);
}

// "Leaving" counts from its time plus the margin, "back" from its own time; on a tie "leaving" wins.
auto rank(const UpstreamReport &report, Milliseconds returnMargin)
{
    const std::int64_t effective = report.seenAtMs + (report.isLeaving ? returnMargin.count() : 0);
    return std::tuple(effective, report.isLeaving);
}

} // namespace

bool mergeRecord(MemberRecord &known, const MemberRecord &heard)
{
    const MemberRecord before = known;
    const bool isLeaving = (known.incarnation >= heard.incarnation && known.isLeaving)
        || (heard.incarnation >= known.incarnation && heard.isLeaving);
    if (rank(known) < rank(heard)) {
        known = heard;
    }
    known.isLeaving = isLeaving;
    return known != before;
}

bool mergeShared(SharedValue &known, const SharedValue &heard)
{
    if (std::tie(known.version, known.value) >= std::tie(heard.version, heard.value)) {
        return false;
    }
    known = heard;
    return true;
}

bool mergeReport(UpstreamReport &known, const UpstreamReport &heard, Milliseconds returnMargin)
{
    if (rank(known, returnMargin) >= rank(heard, returnMargin)) {
        return false;
    }
    known = heard;
    return true;
}

} // namespace magnolia::membership
