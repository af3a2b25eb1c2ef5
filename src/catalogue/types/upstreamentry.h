// One upstream as its own entry in the platform's store describes it.
#pragma once

#include "framework/global/types/ids.h"

#include <cstdint>
#include <string>

namespace magnolia::catalogue
{

struct UpstreamEntry
{
    UpstreamId id;
    std::string service;
    /** IP:PORT; given to another upstream some time after this one has ended. */
    std::string address;
    DataCentreId dataCentre;
    /** Requests that it works on at once; 0 where it does not say. */
    int slots = 0;
    bool isLeaving = false;
    /** Unix milliseconds of its start; another value under the same id is another incarnation. */
    std::uint64_t startedAt = 0;

    friend bool operator==(const UpstreamEntry &, const UpstreamEntry &) = default;
};

} // namespace magnolia::catalogue
