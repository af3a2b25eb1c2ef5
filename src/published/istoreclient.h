// Interface to read the platform's store.
#pragma once

#include "framework/global/error.h"
#include "published/types/storeitem.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace magnolia::published
{

/** One page of a full read of the store. */
struct StorePage
{
    std::vector<StoreItem> items;
    bool hasMore = false;
    /** The store's position when the page was read. */
    StorePosition position;
};

/** Changes after a given revision. */
struct StoreChanges
{
    std::vector<StoreItem> items;
    /** Position from which the next watch continues. */
    StorePosition position;
    /** The store no longer has the changes after the given revision; a full read is needed. */
    bool isHistoryLost = false;
};

class IStoreClient
{
public:
    virtual ~IStoreClient() = default;

    /** Reads the page after `afterKey`, or the first if it is empty. One call at a time; `done` is called once. */
    virtual void readPage(const std::string &afterKey, std::function<void(Result<StorePage>)> done) = 0;
    /**
     * Reads the first page on a connection of its own, beside earlier attempts. An attempt is given up when nothing of
     * its answer arrives for some time, and when there are too many later ones; `done` is not called in the latter
     * case.
     */
    virtual void attemptRead(std::function<void(Result<StorePage>)> done)
    {
        readPage({}, std::move(done));
    }
    /** Whether the answer of an attempt is arriving. */
    [[nodiscard]] virtual bool isAttemptReceiving() const
    {
        return false;
    }
    /** Abandons all attempts; their `done` is not called. */
    virtual void cancelAttempts()
    {
    }
    /** Waits up to `wait` for changes after `revision`. */
    virtual void watch(std::uint64_t revision, Milliseconds wait, std::function<void(Result<StoreChanges>)> done) = 0;
    /** Abandons the open watch, if there is one; its `done` is not called. */
    virtual void cancelWatch() = 0;
    /** Returns the changes after `revision` without waiting for any, also while a watch is open. One at a time. */
    virtual void check(std::uint64_t revision, std::function<void(Result<StoreChanges>)> done) = 0;
};

} // namespace magnolia::published
