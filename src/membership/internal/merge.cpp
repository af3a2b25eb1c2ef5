// Records are merged by a total order; the leaving flag is never cleared within an incarnation.
#include "membership/internal/merge.h"

#include <tuple>

namespace magnolia::membership
{
namespace
{

auto rank(const MemberRecord &record)
{
    // A member must not change its address within an incarnation. Including the address keeps the merge commutative if
    // it does.
    return std::tie(record.incarnation, record.refutationNumber, record.status, record.peerAddress);
}

// The margin is added to the time of a "leaving" report but not of a "back" report; on a tie "leaving" wins.
auto rank(const UpstreamReport &report, Milliseconds returnMargin)
{
    const std::int64_t effectiveMs = report.seenAtMs + (report.isLeaving ? returnMargin.count() : 0);
    return std::tuple(effectiveMs, report.isLeaving);
}

} // namespace

bool mergeRecord(MemberRecord &known, const MemberRecord &received)
{
    const MemberRecord before = known;
    const bool isLeaving = (known.incarnation >= received.incarnation && known.isLeaving)
        || (received.incarnation >= known.incarnation && received.isLeaving);
    if (rank(known) < rank(received)) {
        known = received;
    }
    known.isLeaving = isLeaving;
    return known != before;
}

bool mergeShared(SharedValue &known, const SharedValue &received)
{
    if (std::tie(known.version, known.value) >= std::tie(received.version, received.value)) {
        return false;
    }
    known = received;
    return true;
}

bool mergeReport(UpstreamReport &known, const UpstreamReport &received, Milliseconds returnMargin)
{
    if (rank(known, returnMargin) >= rank(received, returnMargin)) {
        return false;
    }
    known = received;
    return true;
}

} // namespace magnolia::membership
