// An entry instance: creates the modules, connects them and runs them until it is told to stop.
#pragma once

#include "framework/global/error.h"
#include "settings/settings.h"

#include <memory>
#include <string>

namespace magnolia::app
{

class EntryProcess
{
public:
    EntryProcess(settings::Settings settings, std::string settingsPath);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /** Opens the listeners and starts the modules. Errors: ListenFailed. */
    [[nodiscard]] Result<void> start();

    /** Runs until a graceful stop is complete; returns false if a second signal or the drain timeout cut it short. */
    [[nodiscard]] bool runUntilStopped();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace magnolia::app
