// Holds the memory of a group of engines for one attempt, and gives it back at its end.
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

class GroupHolder
{
public:
    GroupHolder(upstreams::IUpstreamClient &client, CancelQueue &cancels);
    ~GroupHolder();
    GroupHolder(const GroupHolder &) = delete;
    GroupHolder &operator=(const GroupHolder &) = delete;

    /** Reserves at all members or at none. Error: MemoryGroupUnavailable. */
    [[nodiscard]] Result<void> hold(kvmemory::GroupPlan plan);
    void release();

private:
    [[nodiscard]] std::vector<kvmemory::GroupEffect> carryOut(const std::vector<kvmemory::GroupEffect> &effects);

    upstreams::IUpstreamClient &m_client;
    CancelQueue &m_cancels;
    kvmemory::GroupState m_state;
};

} // namespace magnolia::entry
