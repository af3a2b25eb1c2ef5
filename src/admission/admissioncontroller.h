// Thread-safe owner of the admission and routing state of an entry.
#pragma once

#include "admission/admission.h"

#include <mutex>

namespace magnolia::admission
{

/**
 * Decides and records under one lock, so that each decision sees exact counts of own requests. Sequence for a request:
 * `admit`; on success `recordDispatch` when it is sent; `recordFirstToken`; then `recordFinish` or `recordFailure`.
 * After `recordFailure`, `retry` with the upstreams tried. No call blocks on anything but the lock.
 */
class AdmissionController
{
public:
    explicit AdmissionController(std::uint64_t seed, AdmissionParameters parameters = {});

    [[nodiscard]] Result<Admission> admit(
        const routing::RoutingRequest &request, const AdmissionContext &context, MonoTime now);
    [[nodiscard]] Result<Admission> retry(
        const routing::RoutingRequest &request, const AdmissionContext &context, MonoTime now);

    void recordDispatch(const routing::RoutingRequest &request, const routing::RoutingDecision &decision, MonoTime now);
    void recordFirstToken(const RequestId &request, MonoTime now);
    void recordFinish(const RequestId &request, Tokens generated, MonoTime now);
    void recordFailure(const RequestId &request, MonoTime now);

    /** Records a cache event of an engine: it holds, or no longer holds, the prefix. */
    void recordPrefixStored(std::uint64_t prefix, const UpstreamId &upstream, Tokens cached, MonoTime now);
    void recordPrefixEvicted(std::uint64_t prefix, const UpstreamId &upstream);

    /** Number of requests in flight, for `status` and metrics. */
    [[nodiscard]] std::size_t inFlightCount() const;
    /** Number of engines that take long prompts of the model, for `status` and metrics. */
    [[nodiscard]] std::uint32_t longPromptEngineCount(const std::string &model) const;
    /** Copy of the learned rates, for `status`. */
    [[nodiscard]] observing::LearnedRates learnedRates() const;

private:
    mutable std::mutex m_mutex;
    AdmissionState m_state;
    Random m_random;
};

} // namespace magnolia::admission
