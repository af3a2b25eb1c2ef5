// Calls to the service by the elected watchers, and by fallback watchers while no watcher is active.
#pragma once

#include "configuration/types/configurationeffect.h"
#include "configuration/types/configurationmessage.h"
#include "configuration/types/configurationstate.h"

namespace magnolia::configuration
{

/** Weight of an instance in the election of watchers. */
[[nodiscard]] std::uint64_t watcherWeight(const InstanceId &id);

/** Updates whether this instance is a watcher. Called after its peers changed. */
void electWatchers(ConfigurationState &state);

/** Whether an instance of the data centre is known to have reached the service within `watcherTimeout`. */
[[nodiscard]] bool hasActiveWatcher(const ConfigurationState &state, MonoTime now);

/** Replaces the stored watcher contact by `reported` if that is preferable. */
void mergeWatcherContact(ConfigurationState &state, const WatcherContact &reported, MonoTime now);

/** Adds the stored watcher contact to `message` if a watcher is active. */
void addWatcherContact(const ConfigurationState &state, ConfigurationMessage &message, MonoTime now);

/** Removes the stored watcher contact if it is of `watcher`. */
void clearWatcherContact(ConfigurationState &state, const InstanceId &watcher);

/** Starts a call to the service if one is due, and handles calls without an answer in time. */
void callServiceIfDue(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects);

/** Handle the end of call `callId`. Ignored if that call is no longer in flight. */
void onServiceAnswer(ConfigurationState &state, std::uint64_t callId, MonoTime now);
void onServiceFailure(ConfigurationState &state, std::uint64_t callId, MonoTime now);

} // namespace magnolia::configuration
