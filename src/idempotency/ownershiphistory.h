// History of the published lists, from which follow the owner of a key and the start of this instance's ownership.
#pragma once

#include "blackboard/types/publishedlist.h"
#include "framework/global/types/ids.h"
#include "idempotency/types/keyname.h"
#include "idempotency/types/keyparameters.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::idempotency
{

/** Consecutive lists that name the same instances. */
struct OwnershipPeriod
{
    std::uint64_t firstRevision = 0;
    std::uint64_t lastRevision = 0;
    /** `generatedAt` of the first list that was seen in this period. */
    WallTime firstGeneratedAt{};
    /** Time before the period in which list revisions were missed; zero if none was. */
    Milliseconds unseenTimeBefore{0};
    /** Ids of the instances that are not leaving, in ascending order. */
    std::vector<std::string> members;
};

/** How this instance came to own a key. */
struct Ownership
{
    /** `generatedAt` of the list by which this instance became the owner. */
    WallTime acquiredAt{};
    /** Owner until then, and the revisions under which it owned the key; empty if not known for certain. */
    std::optional<InstanceId> previousOwner;
    std::uint64_t previousFirstRevision = 0;
    std::uint64_t previousLastRevision = 0;
};

class OwnershipHistory
{
public:
    OwnershipHistory(InstanceId self, KeyParameters parameters);

    /**
     * Applies a list; true if its instances differ from those of the previous list or may have differed in between.
     * Ignores lists with a lower revision, an older `generatedAt`, or one in the future by more than maxClockSkew.
     */
    bool apply(const PublishedList &list, WallTime now);

    /** Owner of `name` by the newest list; empty if there is none. */
    [[nodiscard]] std::optional<InstanceId> owner(const KeyName &name) const;
    /**
     * Start of this instance's ownership of `name`; empty if it is not the owner. For an ownership that began before
     * `searchLimit`, acquiredAt may be later, but before `searchLimit`: callers don't need the exact start then.
     */
    [[nodiscard]] std::optional<Ownership> ownership(const KeyName &name, WallTime searchLimit) const;
    /** Owner of `name` by the newest list without this instance. */
    [[nodiscard]] std::optional<InstanceId> ownerWithoutSelf(const KeyName &name) const;

    /** `generatedAt` of the newest list. */
    [[nodiscard]] WallTime latestGeneratedAt() const
    {
        return m_latestGeneratedAt;
    }
    [[nodiscard]] const std::deque<OwnershipPeriod> &periods() const
    {
        return m_periods;
    }
    /** Removes the periods that ended before `time`, on which no accepted key depends any more. */
    void removeBefore(WallTime time);

private:
    void append(const PublishedList &list, std::vector<std::string> members, Milliseconds unseenTime);

    InstanceId m_self;
    KeyParameters m_parameters;
    // Invariant: ascending by revision; at most maxPeriods. Removing a period only makes an ownership look younger.
    std::deque<OwnershipPeriod> m_periods;
    // Invariant: the latest `generatedAt` that was applied with the newest revision.
    WallTime m_latestGeneratedAt{};
};

} // namespace magnolia::idempotency
