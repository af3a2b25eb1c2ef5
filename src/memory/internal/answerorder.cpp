// Implements the order of answers.
#include "memory/answerorder.h"

#include "memory/memoryaccount.h"

namespace magnolia::memory
{

namespace
{

/** Several times the interval at which answers ask. One that has not asked for so long gets nothing from its upstream.
 */
constexpr Milliseconds maxIdleTime{100};

/** Memory from which on answers are read one after the other. The rest up to the ceiling is for the first of them. */
Bytes orderedFrom(const MemoryLimits &limits)
{
    return Bytes{(limits.shortage.count() + limits.ceiling.count()) / 2};
}

} // namespace

AnswerOrder::AnswerOrder(const MemoryAccount &account)
    : m_account(account)
{
}

bool AnswerOrder::isInForce() const
{
    const MemoryLimits &limits = m_account.limits();
    return limits.isLimited() && m_account.held() >= orderedFrom(limits);
}

AnswerOrder::AnswerId AnswerOrder::add()
{
    ++m_lastId;
    m_answers.emplace(m_lastId, Answer{});
    m_byBytesLeft.emplace(Bytes{0}, m_lastId);
    return m_lastId;
}

void AnswerOrder::remove(AnswerId id)
{
    const auto known = m_answers.find(id);
    if (known != m_answers.end()) {
        m_byBytesLeft.erase({known->second.left, id});
        m_answers.erase(known);
    }
}

void AnswerOrder::recordBytes(AnswerId id, Bytes left)
{
    const auto known = m_answers.find(id);
    if (known == m_answers.end()) {
        return;
    }
    m_byBytesLeft.erase({known->second.left, id});
    m_byBytesLeft.emplace(left, id);
    known->second.left = left;
}

bool AnswerOrder::mayRead(AnswerId id, MonoTime now)
{
    const auto known = m_answers.find(id);
    if (known == m_answers.end()) {
        return true;
    }
    known->second.askedAt = now;
    const bool fits = m_account.held() + known->second.left <= m_account.limits().ceiling;
    return !isInForce() || (fits && isFirst(id, now));
}

bool AnswerOrder::isFirst(AnswerId id, MonoTime now) const
{
    for (const auto &[left, other] : m_byBytesLeft) {
        if (other == id) {
            return true;
        }
        if (now - m_answers.at(other).askedAt <= maxIdleTime) {
            return false;
        }
    }
    return false;
}

} // namespace magnolia::memory
