// Reads the platform's store.
#pragma once

#include "framework/global/error.h"
#include "published/types/storeitem.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace magnolia::published
{

/** One page of a full read. */
struct StorePage
{
    std::vector<StoreItem> items;
    bool hasMore = false;
    /** The store's revision when the page was read. */
    std::uint64_t revision = 0;
};

/** The changes after a revision. */
struct StoreChanges
{
    std::vector<StoreItem> items;
    /** Where to go on. */
    std::uint64_t revision = 0;
    /** The store no longer has this part of its history: read all anew. */
    bool isHistoryLost = false;
};

class IStoreClient
{
public:
    virtual ~IStoreClient() = default;

    /** Reads the page after `afterKey`, empty for the first. One call at a time; `done` is called once. */
    virtual void readPage(const std::string &afterKey, std::function<void(Result<StorePage>)> done) = 0;
    /** Waits for changes after `revision`, for `wait` at most. */
    virtual void watch(std::uint64_t revision, Milliseconds wait, std::function<void(Result<StoreChanges>)> done) = 0;
};

} // namespace magnolia::published
