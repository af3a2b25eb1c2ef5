// The distribution of the published configuration as a pure state machine: events go in, effects come out.
//
// A few watchers in each data centre hold a watch on the service; all others learn of a new revision from their peers
// and fetch it there. Every instance checks what it takes, and never goes below what it has in force.
#pragma once

#include "configuration/types/configurationeffect.h"
#include "configuration/types/configurationevent.h"
#include "configuration/types/configurationstate.h"
#include "configuration/types/snapshotanswer.h"
#include "configuration/types/snapshotrequest.h"
#include "framework/global/types/time.h"

namespace magnolia::configuration
{

/** To be called once, before anything else. */
void start(ConfigurationState &state, MonoTime now);

/** Takes one event in. */
[[nodiscard]] ConfigurationEffects step(ConfigurationState &state, const ConfigurationEvent &event, MonoTime now);

/** Does what is due; to be called every 100 ms or so. */
[[nodiscard]] ConfigurationEffects tick(ConfigurationState &state, MonoTime now);

/**
 * Whether a checked configuration is in force and, since the start or the last pause, peers were heard or found to be
 * out of reach. An instance that is not ready should not take work.
 */
[[nodiscard]] bool isReady(const ConfigurationState &state);

/** Revision in force; zero: none. */
[[nodiscard]] Revision currentRevision(const ConfigurationState &state);

/** Whether this instance calls the service: as a watcher, at start, or because no watcher is heard. */
[[nodiscard]] bool isCallingService(const ConfigurationState &state);

/** The answer to a peer's request. Changes nothing. */
[[nodiscard]] SnapshotAnswer answerRequest(const ConfigurationState &state, const SnapshotRequest &request);

} // namespace magnolia::configuration
