// An upstream as the partition detector sees it.
#pragma once

#include <cstdint>
#include <string>

namespace magnolia::reachability
{

struct UpstreamRef
{
    std::uint64_t key = 0;
    std::string service;

    friend bool operator==(const UpstreamRef &, const UpstreamRef &) = default;
};

} // namespace magnolia::reachability
