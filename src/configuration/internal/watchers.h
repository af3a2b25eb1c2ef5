// Who calls the service: the elected watchers, and others while no watcher is heard.
#pragma once

#include "configuration/types/configurationeffect.h"
#include "configuration/types/configurationmessage.h"
#include "configuration/types/configurationstate.h"

namespace magnolia::configuration
{

/** Weight of an instance in the choice of watchers. */
[[nodiscard]] std::uint64_t watcherWeight(const InstanceId &id);

/** Decides anew whether this instance is a watcher, after its peers changed. */
void electWatchers(ConfigurationState &state);

/** Whether somebody of the data centre was heard to reach the service lately. */
[[nodiscard]] bool hasActiveWatcher(const ConfigurationState &state, MonoTime now);

/** Takes in word of who reached the service and when. */
void mergeEvidence(ConfigurationState &state, const WatcherContact &heard, MonoTime now);

/** The evidence as a message tells it. */
void addEvidence(const ConfigurationState &state, ConfigurationMessage &message, MonoTime now);

/** `watcher` lost the service or is gone. */
void dropEvidence(ConfigurationState &state, const InstanceId &watcher);

/** Starts a call of the service where one is due. */
void callServiceIfDue(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects);

/** Notes the end of call `callId`. */
void onServiceAnswer(ConfigurationState &state, std::uint64_t callId, MonoTime now);
void onServiceFailure(ConfigurationState &state, std::uint64_t callId, MonoTime now);

} // namespace magnolia::configuration
