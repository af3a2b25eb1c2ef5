// Table of keys with limits for keys and stored answers.
#include "idempotency/keytable.h"

namespace magnolia::idempotency
{

KeyTable::KeyTable(KeyParameters parameters)
    : m_parameters(parameters)
{
}

const KeyRecord *KeyTable::find(const KeyName &name) const
{
    const auto it = m_records.find(name);
    return it == m_records.end() ? nullptr : &it->second;
}

std::optional<std::uint64_t> KeyTable::begin(const KeyName &name, WallTime createdAt, std::uint64_t requestHash)
{
    const auto it = m_countByOrganisation.find(name.organisation);
    const std::size_t organisationCount = it == m_countByOrganisation.end() ? 0 : it->second;
    if (!hasCapacity(KeyState::Reserved) || organisationCount >= m_parameters.maxKeysPerOrganisation) {
        return std::nullopt;
    }
    const std::uint64_t attempt = m_nextAttempt++;
    add(name, KeyRecord{KeyState::Reserved, createdAt, requestHash, attempt, std::nullopt});
    return attempt;
}

bool KeyTable::setState(const KeyName &name, std::uint64_t attempt, KeyState state)
{
    const auto it = m_records.find(name);
    if (it == m_records.end() || it->second.attempt != attempt) {
        return false;
    }
    it->second.state = state;
    return true;
}

bool KeyTable::close(const KeyName &name, std::uint64_t attempt)
{
    const auto it = m_records.find(name);
    const bool isReservedByAttempt
        = it != m_records.end() && it->second.attempt == attempt && it->second.state == KeyState::Reserved;
    if (!isReservedByAttempt || !hasCapacity(KeyState::Closed)) {
        return false;
    }
    decrementCount(name.organisation, it->second.state);
    it->second.state = KeyState::Closed;
    incrementCount(name.organisation, it->second.state);
    return true;
}

bool KeyTable::setAnswer(const KeyName &name, std::uint64_t attempt, StoredAnswer answer)
{
    if (!setState(name, attempt, KeyState::Ran)) {
        return false;
    }
    storeAnswer(name, m_records.find(name)->second, std::move(answer));
    return true;
}

bool KeyTable::release(const KeyName &name, std::uint64_t attempt)
{
    const auto it = m_records.find(name);
    if (it == m_records.end() || it->second.attempt != attempt || it->second.state != KeyState::Reserved) {
        return false;
    }
    erase(it);
    return true;
}

bool KeyTable::importKey(const HandedOverKey &key, WallTime createdAt)
{
    const KeyState state = key.state == KeyState::Dispatched ? KeyState::Unknown : key.state;
    const auto it = m_records.find(key.name);
    const bool isKnown = it != m_records.end();
    // The local state wins except in two cases: Reserved (nothing was sent) is replaced, and Ran replaces Unknown.
    if (isKnown && it->second.state != KeyState::Reserved
        && (it->second.state != KeyState::Unknown || state != KeyState::Ran)) {
        return true;
    }
    if (isKnown) {
        erase(it);
    }
    if (!hasCapacity(state)) {
        return false;
    }
    add(key.name, KeyRecord{state, createdAt, key.requestHash, 0, std::nullopt});
    if (key.answer && state == KeyState::Ran) {
        storeAnswer(key.name, m_records.find(key.name)->second, *key.answer);
    }
    return true;
}

void KeyTable::removeUpTo(WallTime time)
{
    m_removedUpTo = std::max(m_removedUpTo, time);
    while (!m_byAge.empty() && m_byAge.begin()->first <= m_removedUpTo) {
        erase(m_records.find(*m_byAge.begin()->second));
    }
}

void KeyTable::forEachDispatchedOrClosed(const std::function<void(const KeyName &, const KeyRecord &)> &visit) const
{
    for (const auto &[name, record] : m_records) {
        if (record.state != KeyState::Reserved) {
            visit(name, record);
        }
    }
}

bool KeyTable::hasCapacity(KeyState state) const
{
    return state == KeyState::Closed ? m_closedCount < m_parameters.maxClosedKeys
                                     : m_records.size() - m_closedCount < m_parameters.maxKeys;
}

void KeyTable::add(const KeyName &name, KeyRecord record)
{
    const auto it = m_records.emplace(name, std::move(record)).first;
    m_byAge.emplace(it->second.createdAt, &it->first);
    incrementCount(name.organisation, it->second.state);
}

void KeyTable::erase(Records::iterator it)
{
    if (it->second.answer) {
        m_answerBytes -= Bytes(it->second.answer->body.size());
    }
    decrementCount(it->first.organisation, it->second.state);
    m_byAge.erase({it->second.createdAt, &it->first});
    m_records.erase(it);
}

void KeyTable::incrementCount(const OrganisationId &organisation, KeyState state)
{
    if (state == KeyState::Closed) {
        ++m_closedCount;
    } else {
        ++m_countByOrganisation[organisation];
    }
}

void KeyTable::decrementCount(const OrganisationId &organisation, KeyState state)
{
    if (state == KeyState::Closed) {
        --m_closedCount;
    } else if (--m_countByOrganisation[organisation] == 0) {
        m_countByOrganisation.erase(organisation);
    }
}

void KeyTable::storeAnswer(const KeyName &name, KeyRecord &record, StoredAnswer answer)
{
    const Bytes size(answer.body.size());
    if (size > m_parameters.maxAnswerSize || size > m_parameters.maxTotalAnswerSize || record.answer) {
        return;
    }
    while (m_answerBytes + size > m_parameters.maxTotalAnswerSize && !m_answersByAge.empty()) {
        evictOldestAnswer();
    }
    m_answerBytes += size;
    record.answer = std::move(answer);
    m_answersByAge.push_back(name);
    if (m_answersByAge.size() > m_parameters.maxKeys) {
        evictOldestAnswer();
    }
}

void KeyTable::evictOldestAnswer()
{
    const auto it = m_records.find(m_answersByAge.front());
    m_answersByAge.pop_front();
    if (it != m_records.end() && it->second.answer) {
        m_answerBytes -= Bytes(it->second.answer->body.size());
        it->second.answer.reset();
    }
}

} // namespace magnolia::idempotency
