// Starts a fleet link on a free loopback port.
#pragma once

#include "fleet/fleetlink.h"
#include "framework/eventloop/eventloop.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <memory>

namespace magnolia::fleet::tests
{

/** Sets `settings.address` and returns a started link; null if no port was found that is free for both protocols. */
inline std::shared_ptr<FleetLink> startLink(
    eventloop::EventLoop &loop, FleetLinkSettings &settings, IFleetDelegate &delegate)
{
    constexpr int maxTries = 20;
    for (int i = 0; i < maxTries; ++i) {
        const Poco::Net::SocketAddress any("127.0.0.1", 0);
        settings.address = {"127.0.0.1", Poco::Net::DatagramSocket(any).address().port()};
        auto link = std::make_shared<FleetLink>(loop, settings, delegate);
        if (link->start()) {
            return link;
        }
    }
    return nullptr;
}

/**
 * Runs the loop for at least `rounds` waits for events and `rounds` x 8 ms. Unlike a fixed time, this handles what has
 * arrived also on a machine on which the process is paused.
 */
inline void runRounds(eventloop::EventLoop &loop, int rounds)
{
    constexpr Milliseconds roundTime{8};
    for (int i = 0; i < rounds; ++i) {
        // The second timer is set when the first one runs, so that the loop waits for events in between.
        loop.after(Milliseconds(1), [&loop, roundTime] {
            loop.after(roundTime, [&loop] {
                loop.stop();
            });
        });
        loop.run();
    }
}

} // namespace magnolia::fleet::tests
