// Adds, updates and removes the entries of own requests.
#include "observing/ownwork.h"

#include <algorithm>

namespace magnolia::observing
{

namespace
{

std::vector<OwnAttempt>::iterator findRequest(std::vector<OwnAttempt> &rows, const RequestId &request)
{
    return std::find_if(rows.begin(), rows.end(), [&request](const OwnAttempt &row) {
        return row.request == request;
    });
}

} // namespace

void onDispatched(OwnWorkTable &table, const UpstreamId &upstream, OwnAttempt attempt)
{
    std::vector<OwnAttempt> &rows = table.upstreams[upstream];
    const auto it = findRequest(rows, attempt.request);
    if (it != rows.end()) {
        *it = std::move(attempt);
        return;
    }
    rows.push_back(std::move(attempt));
}

void onFirstToken(OwnWorkTable &table, const UpstreamId &upstream, const RequestId &request)
{
    const auto rows = table.upstreams.find(upstream);
    if (rows == table.upstreams.end()) {
        return;
    }
    const auto it = findRequest(rows->second, request);
    if (it != rows->second.end()) {
        it->hasFirstToken = true;
    }
}

void onEnded(OwnWorkTable &table, const UpstreamId &upstream, const RequestId &request)
{
    const auto rows = table.upstreams.find(upstream);
    if (rows == table.upstreams.end()) {
        return;
    }
    const auto it = findRequest(rows->second, request);
    if (it != rows->second.end()) {
        rows->second.erase(it);
    }
    if (rows->second.empty()) {
        table.upstreams.erase(rows);
    }
}

OwnWork ownWorkAt(const OwnWorkTable &table, const UpstreamId &upstream)
{
    OwnWork sum;
    const auto rows = table.upstreams.find(upstream);
    if (rows == table.upstreams.end()) {
        return sum;
    }
    for (const OwnAttempt &row : rows->second) {
        ++sum.inFlight;
        sum.longInFlight += row.isLong ? 1 : 0;
        sum.pendingPrefill += row.hasFirstToken ? Tokens{} : row.prefill;
    }
    return sum;
}

} // namespace magnolia::observing
