// Keeps the evacuated data centres of a gateway instance.
#include "gateway/internal/evacuations.h"

#include "framework/logging/log.h"
#include "gateway/internal/coldupstreams.h"
#include "gateway/internal/gatewaycontext.h"

#include <vector>

namespace magnolia::gateway
{

bool isEvacuated(const GatewayContext &context, const DataCentreId &dataCentre)
{
    return !context.evacuatedSince.empty() && context.evacuatedSince.contains(dataCentre);
}

void updateEvacuations(GatewayContext &context,
    const std::map<DataCentreId, published::PublishedState::Evacuation> &published, std::string_view toldBy)
{
    for (const auto &[dataCentre, evacuation] : published) {
        if (context.evacuatedSince.try_emplace(dataCentre, context.loop.now()).second) {
            logging::write(logging::Level::Info, "gateway", "evacuation_started",
                {{"data_centre", std::string_view(dataCentre.value())}, {"told_by", toldBy},
                    {"requests", std::uint64_t{requestsInDataCentre(context, dataCentre)}}});
        }
    }
    std::vector<DataCentreId> ended;
    for (const auto &[dataCentre, since] : context.evacuatedSince) {
        if (!published.contains(dataCentre)) {
            ended.push_back(dataCentre);
        }
    }
    for (const DataCentreId &it : ended) {
        const auto known = context.evacuatedSince.find(it);
        const Milliseconds duration = toMilliseconds(context.loop.now() - known->second);
        context.evacuatedSince.erase(known);
        logging::write(logging::Level::Info, "gateway", "evacuation_ended",
            {{"data_centre", std::string_view(it.value())}, {"told_by", toldBy},
                {"after_ms", std::int64_t{duration.count()}}});
        onEvacuationEnded(context, it);
    }
}

void onEvacuationEnded(GatewayContext &context, const DataCentreId &dataCentre)
{
    context.cold->markDataCentreCold(dataCentre);
}

std::size_t requestsInDataCentre(GatewayContext &context, const DataCentreId &dataCentre)
{
    std::size_t count = 0;
    for (const auto &[upstream, load] : context.placements.loads(context.loop.now())) {
        const KnownUpstream *known = context.upstreams.find(upstream);
        if (known != nullptr && known->entry.dataCentre == dataCentre) {
            count += static_cast<std::size_t>(load.requests);
        }
    }
    return count;
}

} // namespace magnolia::gateway
