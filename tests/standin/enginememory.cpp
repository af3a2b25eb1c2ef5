// Allocation of KV memory to reservations and handles.
#include "standin/enginememory.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace magnolia::standin
{

bool EngineMemory::allocate(std::uint64_t tokens)
{
    if (tokens > freeTokens()) {
        return false;
    }
    m_usedTokens += tokens;
    return true;
}

void EngineMemory::deallocate(std::uint64_t tokens)
{
    m_usedTokens -= tokens;
}

bool EngineMemory::reserve(const std::string &id, Reservation reservation)
{
    const auto it = m_reservations.find(id);
    if (it == m_reservations.end()) {
        if (!allocate(reservation.tokens)) {
            return false;
        }
        m_reservations.emplace(id, std::move(reservation));
        return true;
    }
    Reservation &old = it->second;
    if (reservation.tokens > old.tokens && !allocate(reservation.tokens - old.tokens)) {
        return false;
    }
    if (reservation.tokens < old.tokens) {
        deallocate(old.tokens - reservation.tokens);
    }
    reservation.usedBy = old.usedBy;
    old = std::move(reservation);
    return true;
}

std::optional<Reservation> EngineMemory::release(const std::string &id)
{
    const auto it = m_reservations.find(id);
    if (it == m_reservations.end()) {
        return std::nullopt;
    }
    Reservation reservation = std::move(it->second);
    m_reservations.erase(it);
    if (!reservation.usedBy.empty()) {
        return reservation;
    }
    deallocate(reservation.tokens);
    return std::nullopt;
}

std::map<std::string, Reservation> EngineMemory::removeExpired(MonoTime now)
{
    std::map<std::string, Reservation> usedReservations;
    for (auto it = m_reservations.begin(); it != m_reservations.end();) {
        const std::string id = it->first;
        const bool isExpired = it->second.expiresAt <= now;
        ++it;
        if (!isExpired) {
            continue;
        }
        if (auto reservation = release(id)) {
            usedReservations.emplace(id, std::move(*reservation));
        }
    }
    return usedReservations;
}

Reservation *EngineMemory::find(const std::string &id)
{
    const auto it = m_reservations.find(id);
    return it == m_reservations.end() ? nullptr : &it->second;
}

nlohmann::json EngineMemory::reservationsToJson(MonoTime now) const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[id, it] : m_reservations) {
        rows.push_back({{"id", id}, {"owner", it.owner}, {"tokens", it.tokens},
            {"expires_in_ms", toMilliseconds(it.expiresAt - now).count()}});
    }
    return {{"reservations", std::move(rows)}};
}

void EngineMemory::addHandle(const std::string &handle, std::uint64_t tokens)
{
    m_handles[handle] = tokens;
}

std::optional<std::uint64_t> EngineMemory::handleTokens(const std::string &handle) const
{
    const auto it = m_handles.find(handle);
    return it == m_handles.end() ? std::nullopt : std::optional(it->second);
}

std::uint64_t EngineMemory::removeHandle(const std::string &handle)
{
    const auto it = m_handles.find(handle);
    if (it == m_handles.end()) {
        return 0;
    }
    const std::uint64_t tokens = it->second;
    m_handles.erase(it);
    deallocate(tokens);
    return tokens;
}

} // namespace magnolia::standin
