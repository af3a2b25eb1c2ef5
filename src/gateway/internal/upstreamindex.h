// The upstreams by service, in the order that all instances share.
#pragma once

#include "catalogue/types/upstreamentry.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "placement/types/placement.h"
#include "published/publishedstate.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnolia::gateway
{

struct UpstreamRef
{
    placement::UpstreamKey key = 0;
    catalogue::UpstreamEntry entry;
    /** One way from this instance, roughly. */
    Milliseconds delay{0};
};

class UpstreamView
{
public:
    /** Short name of an upstream between instances. */
    [[nodiscard]] static placement::UpstreamKey keyOf(const UpstreamId &id);

    void rebuild(
        const std::map<std::string, published::PublishedState::UpstreamRecord> &held, const DataCentreId &here);

    /** Those of the service, leaving ones included, by key. */
    [[nodiscard]] const std::vector<UpstreamRef> &ofService(const std::string &service) const;
    [[nodiscard]] const UpstreamRef *find(placement::UpstreamKey key) const;
    /** The id of a known upstream, or its key in hexadecimal. */
    [[nodiscard]] std::string nameOf(placement::UpstreamKey key) const;
    [[nodiscard]] std::size_t size() const;

private:
    std::unordered_map<std::string, std::vector<UpstreamRef>> m_byService;
    std::unordered_map<placement::UpstreamKey, UpstreamRef> m_byKey;
};

} // namespace magnolia::gateway
