// Index of upstreams by service, in an order that is the same on all instances.
#pragma once

#include "catalogue/types/upstreamentry.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "placement/types/placement.h"
#include "published/publishedstate.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnolia::gateway
{

struct KnownUpstream
{
    placement::UpstreamKey key = 0;
    catalogue::UpstreamEntry entry;
    /** Approximate one-way network delay from this instance. */
    Milliseconds delay{0};
};

class UpstreamIndex
{
public:
    /** Returns the key that identifies an upstream between instances. */
    [[nodiscard]] static placement::UpstreamKey keyOf(const UpstreamId &id);

    /** Ids of the upstreams that a rebuild has changed. */
    struct Difference
    {
        std::vector<std::string> added;
        std::vector<std::string> removed;
        std::vector<std::string> nowLeaving;
    };

    Difference rebuild(const std::map<std::string, published::PublishedState::UpstreamRecord> &records,
        const DataCentreId &ownDataCentre);

    /**
     * Marks this run of an upstream as leaving until another run of it is published. Returns whether that is new.
     */
    bool markLeaving(placement::UpstreamKey key, std::uint64_t startedAt);

    /** Returns the upstreams of a service in order of their keys, including leaving upstreams. */
    [[nodiscard]] const std::vector<KnownUpstream> &ofService(const std::string &service) const;
    [[nodiscard]] const KnownUpstream *find(placement::UpstreamKey key) const;
    [[nodiscard]] const std::unordered_map<placement::UpstreamKey, KnownUpstream> &all() const;
    /** Returns a number that changes whenever the index does. */
    [[nodiscard]] std::uint64_t generation() const;
    /** Returns the id of a known upstream, or the key in hexadecimal if it is unknown. */
    [[nodiscard]] std::string idOf(placement::UpstreamKey key) const;
    [[nodiscard]] std::size_t size() const;

private:
    [[nodiscard]] Difference differenceFrom(
        const std::unordered_map<placement::UpstreamKey, KnownUpstream> &previous) const;

    std::unordered_map<std::string, std::vector<KnownUpstream>> m_byService;
    std::unordered_map<placement::UpstreamKey, KnownUpstream> m_byKey;
    // Start times of the runs that were marked as leaving; what is published may still call them ready.
    std::unordered_map<placement::UpstreamKey, std::uint64_t> m_leavingRuns;
    std::uint64_t m_generation = 0;
};

} // namespace magnolia::gateway
