// The messages that were recorded from the build e1a7b6c; see data/README.md. This file compiles with both builds.
#pragma once

#include "fleet/ifleetdelegate.h"
#include "fleet/types/peermessage.h"
#include "fleet/types/probemessage.h"
#include "peerlink/binarycodec.h"

#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::fleet::tests
{

/** An incremental message with every list filled; addresses and data centre are empty. */
inline PeerMessage recordedIncrement()
{
    PeerMessage message;
    message.instance = "gw-17";
    message.incarnation = 1'796'400'000'123;
    message.sequence = 4711;
    message.isReady = true;
    message.isLeaving = true;
    message.isPartitioned = true;
    message.configurationVersion = 42;
    message.storePosition = {3, 90'210};
    message.placements
        = {{0x1122334455667788, 0x8877665544332211, {1, 2, 3}, 4960, 128, 250, 300, 17, false, true, 620},
            {2, 3, {}, 260'000, 900, 1000, 8000, 4'000'000'000, true, false, 0}};
    message.decoding = {0x1122334455667788, 5};
    message.ends = {{7, 8, 3}, {PlacementEnd::noPlacement, 9, PlacementEnd::noOutcome}};
    message.leaving = {{10, 1'796'400'000'456}};
    message.limits = {{11, 1'796'400'000'789, true, 17.5}, {12, 13, false, 0}};
    message.crashes = {{14, 15, 16, 17, 18, {19, 20}, {21}, {}}, {22, 23, 24, 25, 26, {}, {27}, {28, 29}}};
    message.succeeded = {30, 31};
    message.quarantine = {{{32}, {33, 34}, 5, 60'000, 1000, 30'000, 29'000}};
    return message;
}

/** A full-state message with every list filled. */
inline PeerMessage recordedFullState()
{
    PeerMessage message = recordedIncrement();
    message.dataCentre = "z2";
    message.address = {"10.2.0.29", 7340};
    message.callerAddress = "10.2.0.29:8227";
    message.relayAddress = "10.2.0.29:7341";
    message.isLeaving = false;
    message.isPartitioned = false;
    message.isFullState = true;
    message.peers = {{"10.1.0.40", 7340}, {"10.3.0.7", 65'535}};
    return message;
}

inline ProbeMessage recordedProbe()
{
    ProbeMessage message;
    message.instance = "gw-17";
    message.incarnation = 1'796'400'000'123;
    message.address = {"10.2.0.29", 7340};
    message.isAck = true;
    message.configurationVersion = 42;
    message.storePosition = {3, 90'210};
    message.storeAgeMs = 1200;
    message.suspicions = {{"gw-3", 1'796'400'000'001, 480}, {"gw-4", 2, 0}};
    return message;
}

inline Snapshot recordedSnapshot()
{
    return {{3, 90'210}, true,
        {{"op/config", "{\"Version\":42}", 90'000, false, 2},
            {"up/i-1", std::string("\0\xff binary", 9), 90'210, false, 3}, {"up/i-2", "", 90'100, true, 3}}};
}

/** Returns the encoded messages by file name. */
inline std::vector<std::pair<std::string, std::string>> encodeRecordedMessages()
{
    return {{"format-11-increment.bin", peerlink::encode(recordedIncrement())},
        {"format-11-full-state.bin", peerlink::encode(recordedFullState())},
        {"format-11-empty.bin", peerlink::encode(PeerMessage())}, {"format-103.bin", peerlink::encode(recordedProbe())},
        {"format-103-empty.bin", peerlink::encode(ProbeMessage())},
        {"snapshot.bin", peerlink::encode(recordedSnapshot())}, {"snapshot-empty.bin", peerlink::encode(Snapshot())}};
}

inline void writeRecordedMessages(const std::string &directory)
{
    for (const auto &[name, bytes] : encodeRecordedMessages()) {
        std::ofstream(directory + '/' + name, std::ios::binary) << bytes;
    }
}

} // namespace magnolia::fleet::tests
