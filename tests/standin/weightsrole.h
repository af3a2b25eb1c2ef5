// Simulated weight store: returns a short text instead of weights and limits the rate of reads.
#pragma once

#include "framework/global/types/time.h"
#include "standin/irole.h"

#include <mutex>

namespace magnolia::standin
{

class WeightsRole : public IRole
{
public:
    explicit WeightsRole(double ratePerSecond);

    void handle(Exchange &exchange) override;
    bool publish(const nlohmann::json &content) override;

private:
    /** Takes a token from a bucket with a capacity of one second's refill, at least one token. False if it is empty. */
    [[nodiscard]] bool tryTakeToken();

    const double m_ratePerSecond;
    const double m_bucketCapacity;
    std::mutex m_mutex;
    double m_tokens;
    MonoTime m_refilledAt;
};

} // namespace magnolia::standin
