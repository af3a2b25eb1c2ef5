// Synchronous signal handling: signals are blocked in all threads and read by the main thread.
#pragma once

#include "framework/global/types/time.h"

namespace magnolia::app
{

enum class Signal {
    None,
    /** SIGTERM or SIGINT: stop gracefully. */
    Stop,
    /** SIGHUP: reload keys and certificates. */
    Reload,
};

/** Blocks the handled signals and ignores SIGPIPE; call it before any thread starts. */
void blockSignals();

/** Returns the next signal, or None if there is none within `timeout`. */
[[nodiscard]] Signal waitForSignal(Milliseconds timeout);

} // namespace magnolia::app
