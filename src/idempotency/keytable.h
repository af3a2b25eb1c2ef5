// The keys that one entry remembers, bounded in number, in number for each organisation, and in kept answers.
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
    /** Adds a key in state Reserved and returns its attempt; empty where there is no room. Requires: it is not there. */
    std::optional<std::uint64_t> begin(const KeyName &name, WallTime createdAt, std::uint64_t requestHash);
    /** Moves the key to `state` where `attempt` holds it; false where it does not. */
    bool setState(const KeyName &name, std::uint64_t attempt, KeyState state);
    /** Moves a key of which nothing was sent to Closed; false where `attempt` does not hold it, or without room. */
    bool close(const KeyName &name, std::uint64_t attempt);
    /** Moves the key to Ran and keeps `answer` where its size allows; false where `attempt` does not hold the key. */
    bool setAnswer(const KeyName &name, std::uint64_t attempt, StoredAnswer answer);
    /** Forgets a key of which nothing was sent; false where `attempt` does not hold it in state Reserved. */
    bool release(const KeyName &name, std::uint64_t attempt);
    /** Takes in a key that another entry hands over; false where there is no room. */
    bool install(const HandedOverKey &key, WallTime createdAt);
    /** Forgets all keys created at or before `time`; they are refused from then on. */
    void forgetUpTo(WallTime time);

    /** Keys created at or before this time may have been forgotten. Never falls. */
    [[nodiscard]] WallTime forgottenUpTo() const
    {
        return m_forgottenUpTo;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_records.size();
    }
    [[nodiscard]] Bytes answerBytes() const
    {
        return m_answerBytes;
    }
    /** Calls `visit` for each key of which bytes may have left or that is closed. */
    void forEachDecided(const std::function<void(const KeyName &, const KeyRecord &)> &visit) const;

private:
    using Records = std::map<KeyName, KeyRecord>;

    [[nodiscard]] bool hasRoom(KeyState state) const;
    void add(const KeyName &name, KeyRecord record);
    void count(const OrganisationId &organisation, KeyState state);
    void uncount(const OrganisationId &organisation, KeyState state);
    void erase(Records::iterator it);
    void keepAnswer(const KeyName &name, KeyRecord &record, StoredAnswer answer);
    void dropOldestAnswer();

    KeyParameters m_parameters;
    // Invariant: at most maxKeys that are not closed, which m_perOrganisation counts, and m_closed that are.
    Records m_records;
    std::map<OrganisationId, std::size_t> m_perOrganisation;
    std::size_t m_closed = 0;
    // Invariant: one entry a record, with its creation time; the names are those in m_records.
    std::set<std::pair<WallTime, const KeyName *>> m_byAge;
    // Invariant: m_answerBytes is the sum over the bodies of kept answers and at most maxTotalAnswerSize.
    std::deque<KeyName> m_answersByAge;
    Bytes m_answerBytes;
    WallTime m_forgottenUpTo{};
    std::uint64_t m_nextAttempt = 1;
};

} // namespace magnolia::idempotency
