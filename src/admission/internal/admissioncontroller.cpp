// Calls the free functions under the lock.
#include "admission/admissioncontroller.h"

#include "routing/prefixhints.h"

namespace magnolia::admission
{

AdmissionController::AdmissionController(std::uint64_t seed, AdmissionParameters parameters)
    : m_random(seed)
{
    m_state.parameters = parameters;
}

Result<Admission> AdmissionController::admit(
    const routing::RoutingRequest &request, const AdmissionContext &context, MonoTime now)
{
    const std::scoped_lock lock(m_mutex);
    return admission::admit(m_state, request, context, now, m_random);
}

Result<Admission> AdmissionController::retry(
    const routing::RoutingRequest &request, const AdmissionContext &context, MonoTime now)
{
    const std::scoped_lock lock(m_mutex);
    return admitRetry(m_state, request, context, now, m_random);
}

void AdmissionController::recordDispatch(
    const routing::RoutingRequest &request, const routing::RoutingDecision &decision, MonoTime now)
{
    const std::scoped_lock lock(m_mutex);
    onDispatched(m_state, request, decision, now);
}

void AdmissionController::recordFirstToken(const RequestId &request, MonoTime now)
{
    const std::scoped_lock lock(m_mutex);
    onFirstToken(m_state, request, now);
}

void AdmissionController::recordFinish(const RequestId &request, Tokens generated, MonoTime now)
{
    const std::scoped_lock lock(m_mutex);
    onFinished(m_state, request, generated, now);
}

void AdmissionController::recordFailure(const RequestId &request, MonoTime now)
{
    const std::scoped_lock lock(m_mutex);
    onFailed(m_state, request, now);
}

void AdmissionController::recordPrefixStored(
    std::uint64_t prefix, const UpstreamId &upstream, Tokens cached, MonoTime now)
{
    const std::scoped_lock lock(m_mutex);
    routing::recordPrefixStored(m_state.prefixHints, prefix, {upstream, cached, now});
}

void AdmissionController::recordPrefixEvicted(std::uint64_t prefix, const UpstreamId &upstream)
{
    const std::scoped_lock lock(m_mutex);
    routing::recordPrefixEvicted(m_state.prefixHints, prefix, upstream);
}

std::size_t AdmissionController::inFlightCount() const
{
    const std::scoped_lock lock(m_mutex);
    return m_state.inFlight.size();
}

std::uint32_t AdmissionController::longPromptEngineCount(const std::string &model) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_state.targets.find(model);
    return it == m_state.targets.end() ? 0 : it->second.longPromptEngines.count;
}

observing::LearnedRates AdmissionController::learnedRates() const
{
    const std::scoped_lock lock(m_mutex);
    return m_state.rates;
}

} // namespace magnolia::admission
