// Decides which plain answers are read on while memory is short. It does no I/O: the account and the time are passed
// in.
//
// Answers the load of many large answers at once, or of upstreams that send without end. If all answers were paused
// alike, those that are read in part could fill the memory without any of them becoming complete. The answer with the
// fewest bytes to come is read on, so that its memory becomes free soonest, as long as all of it fits.
#pragma once

#include "framework/global/types/bytes.h"
#include "framework/global/types/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace magnolia::memory
{

class MemoryAccount;

class AnswerOrder
{
public:
    using AnswerId = std::uint64_t;

    /** The account must outlive this object. */
    explicit AnswerOrder(const MemoryAccount &account);

    /** Whether memory is so short that answers take turns; an answer that is read before need not be added. */
    [[nodiscard]] bool isInForce() const;
    [[nodiscard]] AnswerId add();
    void remove(AnswerId id);
    /** Records that bytes of an answer have arrived and that up to `left` bytes are still to come. */
    void recordBytes(AnswerId id, Bytes left);
    /**
     * Whether more of an answer may be read now. To be asked after each read, and every few milliseconds while the
     * result is false: an answer for which nothing was asked lately no longer keeps others waiting.
     */
    [[nodiscard]] bool mayRead(AnswerId id, MonoTime now);

private:
    struct Answer
    {
        Bytes left;
        MonoTime askedAt{};
    };

    /** Whether the answer is the first by the bytes to come, without those that wait for their upstreams. */
    [[nodiscard]] bool isFirst(AnswerId id, MonoTime now) const;

    const MemoryAccount &m_account;
    AnswerId m_lastId = 0;
    std::map<AnswerId, Answer> m_answers;
    // Invariant: has the entry {left, id} for each answer.
    std::set<std::pair<Bytes, AnswerId>> m_byBytesLeft;
};

} // namespace magnolia::memory
