// KV memory of an engine, in tokens, as used by streams, reservations and handles of exported or imported KV.
#pragma once

#include "framework/global/types/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace magnolia::standin
{

struct Reservation
{
    std::string owner;
    std::uint64_t tokens = 0;
    MonoTime expiresAt{};
    /** Request id of the stream that uses the reservation; empty if unused. */
    std::string usedBy;
};

/** Accounts for the KV memory of an engine. Not thread-safe; protected by the mutex of EngineCore. */
class EngineMemory
{
public:
    explicit EngineMemory(std::uint64_t capacityTokens)
        : m_capacityTokens(capacityTokens)
    {
    }

    [[nodiscard]] std::uint64_t capacity() const
    {
        return m_capacityTokens;
    }
    [[nodiscard]] std::uint64_t freeTokens() const
    {
        return m_capacityTokens - m_usedTokens;
    }
    /** Allocates `tokens`. Returns false, without any change, if less is free. */
    [[nodiscard]] bool allocate(std::uint64_t tokens);
    void deallocate(std::uint64_t tokens);

    /** Creates, renews or resizes a reservation. Returns false, without any change, if memory is short. */
    [[nodiscard]] bool reserve(const std::string &id, Reservation reservation);
    /** Removes a reservation. If a stream uses it, its memory stays allocated and it is returned. */
    std::optional<Reservation> release(const std::string &id);
    /** Removes reservations that expired by `now`. Returns those used by streams; their memory stays allocated. */
    std::map<std::string, Reservation> removeExpired(MonoTime now);
    [[nodiscard]] Reservation *find(const std::string &id);
    [[nodiscard]] nlohmann::json reservationsToJson(MonoTime now) const;

    /** Assigns `tokens`, already allocated, to a handle of exported or imported KV. */
    void addHandle(const std::string &handle, std::uint64_t tokens);
    [[nodiscard]] std::optional<std::uint64_t> handleTokens(const std::string &handle) const;
    /** Removes a handle and frees its memory. Returns the number of tokens freed. */
    std::uint64_t removeHandle(const std::string &handle);

private:
    // Invariant: m_usedTokens <= m_capacityTokens; m_usedTokens includes all reservations and handles.
    std::uint64_t m_capacityTokens;
    std::uint64_t m_usedTokens = 0;
    std::map<std::string, Reservation> m_reservations;
    std::map<std::string, std::uint64_t> m_handles;
};

} // namespace magnolia::standin
