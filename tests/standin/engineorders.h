// Applies orders to an engine: its model, version and role, and the highest fencing number seen.
#pragma once

#include "framework/global/types/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <mutex>
#include <string>

namespace magnolia::standin
{

class EngineOrders
{
public:
    EngineOrders(std::string model, bool checksFencing, Milliseconds loadTime)
        : m_checksFencing(checksFencing)
        , m_loadTime(loadTime)
        , m_model(std::move(model))
    {
    }

    /** Applies the order. Returns false if fencing is checked and its number is below the highest one seen. */
    [[nodiscard]] bool apply(const nlohmann::json &order, MonoTime now);
    [[nodiscard]] nlohmann::json toJson(MonoTime now) const;

private:
    const bool m_checksFencing;
    const Milliseconds m_loadTime;
    mutable std::mutex m_mutex;
    // Invariant: never decreases.
    std::uint64_t m_highestFencing = 0;
    std::string m_model;
    std::string m_version = "1";
    std::string m_role = "any";
    MonoTime m_readyAt{};
};

} // namespace magnolia::standin
