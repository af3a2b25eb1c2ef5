// A changed value is encoded as the part between its common prefix and common suffix with the base value.
#include "configuration/snapshotdelta.h"

#include "framework/global/hashing.h"

#include <algorithm>
#include <string_view>

namespace magnolia::configuration
{

namespace
{

const std::string &valueOf(const ConfigurationSnapshot &snapshot, const std::string &key)
{
    static const std::string empty;
    const auto it = snapshot.values.find(key);
    return it == snapshot.values.end() ? empty : it->second;
}

ValueEdit makeEdit(const std::string &key, std::string_view from, std::string_view to)
{
    const std::size_t shorter = std::min(from.size(), to.size());
    const auto prefix = static_cast<std::size_t>(
        std::mismatch(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(shorter), to.begin()).first
        - from.begin());
    std::size_t suffix = 0;
    while (suffix < shorter - prefix && from[from.size() - 1 - suffix] == to[to.size() - 1 - suffix]) {
        ++suffix;
    }
    return ValueEdit{key, false, prefix, suffix, std::string(to.substr(prefix, to.size() - prefix - suffix))};
}

/** Returns false if the edit does not apply. */
bool applyEdit(ConfigurationSnapshot &snapshot, const ValueEdit &edit)
{
    if (edit.isRemoval) {
        return snapshot.values.erase(edit.key) == 1;
    }
    std::string &value = snapshot.values[edit.key];
    if (edit.prefixBytes > value.size() || edit.suffixBytes > value.size() - edit.prefixBytes) {
        return false;
    }
    value = value.substr(0, edit.prefixBytes) + edit.middle + value.substr(value.size() - edit.suffixBytes);
    return true;
}

} // namespace

std::uint64_t snapshotDigest(const ConfigurationSnapshot &snapshot)
{
    std::uint64_t digest = snapshot.revision.count();
    for (const auto &[key, value] : snapshot.values) {
        digest = stableHash(value, stableHash(key, digest));
    }
    return digest;
}

SnapshotAnswer makeDelta(
    const ConfigurationSnapshot &base, const ConfigurationSnapshot &target, std::uint64_t targetDigest)
{
    SnapshotAnswer answer{target.revision, targetDigest, base.revision, {}};
    for (const auto &[key, value] : target.values) {
        const bool isKnown = base.values.contains(key);
        if (!isKnown || valueOf(base, key) != value) {
            answer.edits.push_back(makeEdit(key, valueOf(base, key), value));
        }
    }
    for (const auto &[key, value] : base.values) {
        if (!target.values.contains(key)) {
            answer.edits.push_back(ValueEdit{key, true, 0, 0, {}});
        }
    }
    return answer;
}

Result<ConfigurationSnapshot> applyDelta(const ConfigurationSnapshot &base, const SnapshotAnswer &answer)
{
    if (answer.base != base.revision) {
        return makeError(ResultCode::PeerMessageMalformed, "the delta is for a different base revision");
    }
    ConfigurationSnapshot snapshot = base;
    snapshot.revision = answer.revision;
    for (const ValueEdit &edit : answer.edits) {
        if (!applyEdit(snapshot, edit)) {
            return makeError(ResultCode::PeerMessageMalformed,
                "the delta of key " + edit.key + " does not apply to the base snapshot");
        }
    }
    if (snapshotDigest(snapshot) != answer.digest) {
        return makeError(
            ResultCode::PeerMessageMalformed, "the resulting snapshot does not match the digest of the answer");
    }
    return snapshot;
}

} // namespace magnolia::configuration
