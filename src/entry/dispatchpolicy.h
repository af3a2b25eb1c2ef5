// Connects the admission controller to the blackboard and the requests.
#pragma once

#include "admission/admissioncontroller.h"
#include "blackboard/blackboard.h"
#include "entry/idispatchpolicy.h"
#include "framework/global/iclock.h"

namespace magnolia::entry
{

class UpstreamHealthTracker;

class DispatchPolicy : public IDispatchPolicy
{
public:
    DispatchPolicy(DataCentreId dataCentre, const Blackboard &blackboard, const IClock &clock,
        UpstreamHealthTracker &health, std::uint64_t seed);

    [[nodiscard]] Result<UpstreamChoice> admit(const CallerRequest &request, MonoTime now) override;
    [[nodiscard]] Result<UpstreamChoice> retry(
        const CallerRequest &request, const std::vector<UpstreamId> &triedUpstreams, MonoTime now) override;
    void recordFirstToken(const CallerRequest &request, MonoTime now) override;
    void recordAttemptEnd(const CallerRequest &request, const UpstreamChoice &choice, AttemptEnd end, Tokens generated,
        MonoTime now) override;

    [[nodiscard]] const admission::AdmissionController &controller() const;

private:
    [[nodiscard]] routing::RoutingRequest toRoutingRequest(const CallerRequest &request) const;
    [[nodiscard]] Result<UpstreamChoice> decide(
        const CallerRequest &request, const std::vector<UpstreamId> &triedUpstreams, bool isRetry, MonoTime now);

    DataCentreId m_dataCentre;
    const Blackboard &m_blackboard;
    const IClock &m_clock;
    UpstreamHealthTracker &m_health;
    admission::AdmissionController m_controller;
};

} // namespace magnolia::entry
