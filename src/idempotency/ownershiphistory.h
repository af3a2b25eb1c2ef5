// Which entry owns a key, and since when this one does: a short history of the published lists it has seen.
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

/** Lists in a row that name the same entries. */
struct OwnershipPeriod
{
    std::uint64_t firstRevision = 0;
    std::uint64_t lastRevision = 0;
    /** Stamp of the first list of this step that was seen. */
    WallTime firstGeneratedAt{};
    /** Time before the step in which revisions were not seen; zero where all were. */
    Milliseconds unseenTimeBefore{0};
    /** Entries that are not leaving, ascending. */
    std::vector<std::string> members;
};

/** How this instance came to own a key. */
struct Ownership
{
    /** Stamp of the list by which it became the owner. */
    WallTime stamp{};
    /** Who owned the key until then, and under which revisions; empty where that is not known for certain. */
    std::optional<InstanceId> previousOwner;
    std::uint64_t previousFirstRevision = 0;
    std::uint64_t previousLastRevision = 0;
};

class OwnershipHistory
{
public:
    OwnershipHistory(InstanceId self, KeyParameters parameters);

    /**
     * Takes in a list; true where the entries it names differ from those before, or may have in between.
     * Lists of a lower revision, of an older stamp or from the future (by more than the skew) are ignored.
     */
    bool apply(const PublishedList &list, WallTime now);

    /** Owner of `name` by the newest list; empty where there is none. */
    [[nodiscard]] std::optional<InstanceId> owner(const KeyName &name) const;
    /**
     * How this instance came to own `name`; empty where it does not. An ownership that began before `recent` is
     * given the stamp of some later list that is also before `recent`: its exact start then makes no difference.
     */
    [[nodiscard]] std::optional<Ownership> ownership(const KeyName &name, WallTime recent) const;
    /** Owner of `name` were this instance not in the newest list. */
    [[nodiscard]] std::optional<InstanceId> heir(const KeyName &name) const;

    /** Stamp of the newest list. */
    [[nodiscard]] WallTime stamp() const
    {
        return m_stamp;
    }
    [[nodiscard]] const std::deque<OwnershipPeriod> &steps() const
    {
        return m_steps;
    }
    /** Drops steps so old that no key which is still accepted depends on them. */
    void forgetBefore(WallTime time);

private:
    void append(const PublishedList &list, std::vector<std::string> members, Milliseconds unseen);

    InstanceId m_self;
    KeyParameters m_parameters;
    // Invariant: ascending by revision; at most maxSteps. A step that was dropped only makes ownership look younger.
    std::deque<OwnershipPeriod> m_steps;
    // Invariant: the highest stamp taken in with the newest revision.
    WallTime m_stamp{};
};

} // namespace magnolia::idempotency
