// Validation and replacement of the current snapshot, and fetching from peers.
#pragma once

#include "blackboard/types/configurationsnapshot.h"
#include "configuration/types/configurationeffect.h"
#include "configuration/types/configurationstate.h"
#include "configuration/types/snapshotanswer.h"

namespace magnolia::configuration
{

/** Whether a peer has a revision above the current one that this instance has not rejected. */
[[nodiscard]] bool hasNewerPeer(const ConfigurationState &state);

/** Validates `snapshot` and makes it current, or rejects it. `source` is the sending peer, or empty for the service. */
void applySnapshot(ConfigurationState &state, ConfigurationSnapshot snapshot, const InstanceId &source, MonoTime now,
    ConfigurationEffects &effects);

/** Starts a fetch from a peer with a newer revision, unless a fetch is in flight. */
void fetchIfDue(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects);

void onSnapshot(ConfigurationState &state, const InstanceId &from, const SnapshotAnswer &answer, MonoTime now,
    ConfigurationEffects &effects);
void onFetchFailure(ConfigurationState &state, const InstanceId &from, MonoTime now);

/** Reports once that a peer has different content under the current revision. */
void reportDivergence(
    const ConfigurationState &state, const InstanceId &id, KnownPeer &peer, ConfigurationEffects &effects);

} // namespace magnolia::configuration
