// Delivers signals as events of the loop.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/ireadinesshandler.h"

#include <functional>
#include <memory>

namespace magnolia::eventloop
{

enum class Signal {
    /** SIGTERM or SIGINT. */
    Stop,
    /** SIGHUP. */
    Reload,
};

/** At most one per process, because it installs the process's signal handlers. */
class SignalPipe : public IReadinessHandler
{
public:
    /** Installs the signal handlers and calls `handler` from the loop; null if the pipe cannot be created. */
    [[nodiscard]] static std::shared_ptr<SignalPipe> open(EventLoop &loop, std::function<void(Signal)> handler);

    explicit SignalPipe(std::function<void(Signal)> handler);
    void onReady(bool isReadable, bool isWritable, bool isBroken) override;

private:
    std::function<void(Signal)> m_handler;
};

} // namespace magnolia::eventloop
