// Event names and fields of the log lines; docs/operators/membership.md documents them.
#include "membership/internal/eventlog.h"

#include "framework/logging/log.h"

namespace magnolia::membership
{
namespace
{

constexpr std::string_view logModule = "membership";

void logMemberChange(const MembershipEvent &event)
{
    const auto level = event.newState == PeerState::Dead ? logging::Level::Warning : logging::Level::Info;
    logging::write(level, logModule, "member_changed",
        {{"peer", std::string_view(event.subject)}, {"from", toString(event.previousState)},
            {"to", toString(event.newState)}, {"incarnation", event.incarnation.count()}, {"reason", event.reason}});
}

void logSelfEvent(logging::Level level, std::string_view name, const MembershipEvent &event)
{
    logging::write(level, logModule, name, {{"incarnation", event.incarnation.count()}, {"reason", event.reason}});
}

} // namespace

void logEvent(const MembershipEvent &event)
{
    switch (event.kind) {
    case EventKind::MemberChanged:
        logMemberChange(event);
        break;
    case EventKind::MemberRemoved:
        logging::write(logging::Level::Info, logModule, "member_forgotten",
            {{"peer", std::string_view(event.subject)}, {"reason", event.reason}});
        break;
    case EventKind::SharedValueChanged:
        logging::write(logging::Level::Info, logModule, "shared_value_changed",
            {{"key", std::string_view(event.subject)}, {"reason", event.reason}});
        break;
    case EventKind::UpstreamReportChanged:
        logging::write(logging::Level::Info, logModule, "upstream_reported",
            {{"upstream", std::string_view(event.subject)}, {"reason", event.reason}});
        break;
    case EventKind::SelfRefuted:
        logSelfEvent(logging::Level::Info, "self_refuted", event);
        break;
    case EventKind::IncarnationRaised:
        logSelfEvent(logging::Level::Error, "incarnation_raised", event);
        break;
    case EventKind::SelfPaused:
        logSelfEvent(logging::Level::Warning, "self_paused", event);
        break;
    }
}

} // namespace magnolia::membership
