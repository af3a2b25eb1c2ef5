// Reserves memory at a group of engines for one attempt and releases it when the attempt ends.
#pragma once

#include "framework/global/error.h"
#include "kvmemory/types/groupstate.h"

#include <vector>

namespace magnolia::upstreams
{
class IUpstreamClient;
}

namespace magnolia::entry
{

class CancelQueue;

class GroupReserver
{
public:
    GroupReserver(upstreams::IUpstreamClient &client, CancelQueue &cancelQueue);
    ~GroupReserver();
    GroupReserver(const GroupReserver &) = delete;
    GroupReserver &operator=(const GroupReserver &) = delete;

    /** Reserves memory at all members or at none. Error: MemoryGroupUnavailable. */
    [[nodiscard]] Result<void> reserve(kvmemory::GroupPlan plan);
    void release();

private:
    [[nodiscard]] std::vector<kvmemory::GroupEffect> execute(const std::vector<kvmemory::GroupEffect> &effects);

    upstreams::IUpstreamClient &m_client;
    CancelQueue &m_cancelQueue;
    kvmemory::GroupState m_state;
};

} // namespace magnolia::entry
