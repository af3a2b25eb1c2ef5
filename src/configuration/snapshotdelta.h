// Deltas between snapshots, so that a small change of a large configuration needs only a small message between peers.
#pragma once

#include "blackboard/types/configurationsnapshot.h"
#include "configuration/types/snapshotanswer.h"
#include "framework/global/error.h"

#include <cstdint>

namespace magnolia::configuration
{

/** Digest of the revision, all keys and all values. */
[[nodiscard]] std::uint64_t snapshotDigest(const ConfigurationSnapshot &snapshot);

/** Returns the edits that turn `base` into `target`. An empty `base` of revision zero results in all of `target`. */
[[nodiscard]] SnapshotAnswer makeDelta(
    const ConfigurationSnapshot &base, const ConfigurationSnapshot &target, std::uint64_t targetDigest);

/**
 * Returns the snapshot that results from applying `answer` to `base`. Error: PeerMessageMalformed if the answer has a
 * different base, an edit does not apply, or the digest of the result differs.
 */
[[nodiscard]] Result<ConfigurationSnapshot> applyDelta(const ConfigurationSnapshot &base, const SnapshotAnswer &answer);

} // namespace magnolia::configuration
