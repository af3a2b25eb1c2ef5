// Distribution of the published configuration, as a pure state machine that maps events to effects.
//
// A few watchers in each data centre watch the service. All other instances learn of a new revision from their peers
// and fetch it from them. Every instance validates a snapshot before applying it, and never applies a lower revision.
#pragma once

#include "configuration/types/configurationeffect.h"
#include "configuration/types/configurationevent.h"
#include "configuration/types/configurationstate.h"
#include "configuration/types/snapshotanswer.h"
#include "configuration/types/snapshotrequest.h"
#include "framework/global/types/time.h"

namespace magnolia::configuration
{

/** Initialises the timers and starts a catch-up. Must be called once, before any other function. */
void start(ConfigurationState &state, MonoTime now);

/** Handles one event and performs the actions that are due. Returns the resulting effects. */
[[nodiscard]] ConfigurationEffects step(ConfigurationState &state, const ConfigurationEvent &event, MonoTime now);

/** Performs the actions that are due. Must be called about every 100 ms. */
[[nodiscard]] ConfigurationEffects tick(ConfigurationState &state, MonoTime now);

/**
 * Whether there is a valid current configuration and the catch-up since the start or the last pause has ended: peers
 * have answered, or were found to be unreachable. An instance that is not ready should not accept requests.
 */
[[nodiscard]] bool isReady(const ConfigurationState &state);

/** Current revision; zero if there is none. */
[[nodiscard]] Revision currentRevision(const ConfigurationState &state);

/** Whether this instance is a watcher or has a call to the service in flight. */
[[nodiscard]] bool isCallingService(const ConfigurationState &state);

/** Returns the answer to a peer's request: a delta if its base is known, otherwise the full snapshot. */
[[nodiscard]] SnapshotAnswer answerRequest(const ConfigurationState &state, const SnapshotRequest &request);

} // namespace magnolia::configuration
