// An upstream as described by its entry in the platform's store.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <cstdint>
#include <string>

namespace magnolia::catalogue
{

struct UpstreamEntry
{
    UpstreamId id;
    std::string service;
    /** IP:PORT; may be reassigned to another upstream some time after this one has ended. */
    std::string address;
    DataCentreId dataCentre;
    /** Maximum number of concurrent requests; 0 if the upstream does not publish it. */
    int slots = 0;
    bool isLeaving = false;
    /** Time for which the upstream remained cold when it wrote this entry; 0 if it was warm. */
    Milliseconds coldRemaining{0};
    /** Start time in Unix milliseconds; a different value under the same id is a different incarnation. */
    std::uint64_t startedAt = 0;

    friend bool operator==(const UpstreamEntry &, const UpstreamEntry &) = default;
};

} // namespace magnolia::catalogue
