// Messages between peers: announcements of a new revision, random exchanges, and the catch-up.
#pragma once

#include "configuration/types/configurationeffect.h"
#include "configuration/types/configurationmessage.h"
#include "configuration/types/configurationstate.h"

namespace magnolia::configuration
{

/** Announces the current revision to peers. `source` is the peer that sent it, or empty for the service. */
void announceRevision(ConfigurationState &state, const InstanceId &source, MonoTime now, ConfigurationEffects &effects);

/** Announces to the data centre that this instance no longer reaches the service. */
void announceServiceLoss(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects);

/** Exchanges revisions with a random peer if an exchange is due. */
void exchangeIfDue(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects);

/** Chooses the peers that a catch-up queries. Called after the peers changed. */
void chooseCatchUpPeers(ConfigurationState &state);
void startCatchUp(ConfigurationState &state, MonoTime now);
/** Ends the catch-up if possible; otherwise queries the peers that have not answered, at each interval. */
void continueCatchUp(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects);

void onMessage(ConfigurationState &state, const InstanceId &from, const ConfigurationMessage &message, MonoTime now,
    ConfigurationEffects &effects);

} // namespace magnolia::configuration
