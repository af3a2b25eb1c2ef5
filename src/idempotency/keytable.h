// The keys that an instance stores, with limits for their number, in total and per organisation, and for the answers.
#pragma once

#include "framework/global/types/ids.h"
#include "idempotency/types/handover.h"
#include "idempotency/types/keyname.h"
#include "idempotency/types/keyparameters.h"
#include "idempotency/types/keyrecord.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace magnolia::idempotency
{

class KeyTable
{
public:
    explicit KeyTable(KeyParameters parameters);

    [[nodiscard]] const KeyRecord *find(const KeyName &name) const;
    /** Adds a key in state Reserved and returns the attempt; empty if a limit is reached. Requires: a new key. */
    std::optional<std::uint64_t> begin(const KeyName &name, WallTime createdAt, std::uint64_t requestHash);
    /** Sets the state of the key; false if `attempt` has not reserved it. */
    bool setState(const KeyName &name, std::uint64_t attempt, KeyState state);
    /** Closes the key; false if `attempt` does not hold it in state Reserved or maxClosedKeys is reached. */
    bool close(const KeyName &name, std::uint64_t attempt);
    /** Sets state Ran and stores `answer` if its size allows; false if `attempt` has not reserved the key. */
    bool setAnswer(const KeyName &name, std::uint64_t attempt, StoredAnswer answer);
    /** Removes the key; false if `attempt` does not hold it in state Reserved. */
    bool release(const KeyName &name, std::uint64_t attempt);
    /** Adds a key from another instance, or updates it; false if a limit is reached. */
    bool importKey(const HandedOverKey &key, WallTime createdAt);
    /** Removes all keys created at or before `time`; they are refused from then on. */
    void removeUpTo(WallTime time);

    /** Keys created at or before this time may have been removed. Never decreases. */
    [[nodiscard]] WallTime removedUpTo() const
    {
        return m_removedUpTo;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_records.size();
    }
    [[nodiscard]] Bytes answerBytes() const
    {
        return m_answerBytes;
    }
    /** Calls `visit` for each key that is not in state Reserved. */
    void forEachDispatchedOrClosed(const std::function<void(const KeyName &, const KeyRecord &)> &visit) const;

private:
    using Records = std::map<KeyName, KeyRecord>;

    [[nodiscard]] bool hasCapacity(KeyState state) const;
    void add(const KeyName &name, KeyRecord record);
    void incrementCount(const OrganisationId &organisation, KeyState state);
    void decrementCount(const OrganisationId &organisation, KeyState state);
    void erase(Records::iterator it);
    void storeAnswer(const KeyName &name, KeyRecord &record, StoredAnswer answer);
    void evictOldestAnswer();

    KeyParameters m_parameters;
    // Invariant: m_closedCount records are closed; the others, at most maxKeys, are counted in m_countByOrganisation.
    Records m_records;
    std::map<OrganisationId, std::size_t> m_countByOrganisation;
    std::size_t m_closedCount = 0;
    // Invariant: one element per record, with its creation time and a pointer to its key in m_records.
    std::set<std::pair<WallTime, const KeyName *>> m_byAge;
    // Invariant: m_answerBytes is the total size of the stored bodies and at most maxTotalAnswerSize.
    std::deque<KeyName> m_answersByAge;
    Bytes m_answerBytes;
    WallTime m_removedUpTo{};
    std::uint64_t m_nextAttempt = 1;
};

} // namespace magnolia::idempotency
