// Synchronous signal handling.
#include "app/internal/signals.h"

#include <csignal>
#include <ctime>

namespace magnolia::app
{

namespace
{

sigset_t handledSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

} // namespace

void blockSignals()
{
    const sigset_t set = handledSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    // Writing to a connection that the caller has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

Signal waitForSignal(Milliseconds timeout)
{
    constexpr long nanosecondsPerMillisecond = 1'000'000;
    const sigset_t set = handledSignals();
    timespec timeoutSpec{};
    timeoutSpec.tv_sec = std::chrono::duration_cast<Seconds>(timeout).count();
    timeoutSpec.tv_nsec = (timeout.count() % 1000) * nanosecondsPerMillisecond;
    switch (sigtimedwait(&set, nullptr, &timeoutSpec)) {
    case SIGTERM:
    case SIGINT:
        return Signal::Stop;
    case SIGHUP:
        return Signal::Reload;
    default:
        return Signal::None;
    }
}

} // namespace magnolia::app
