// An entry instance as a child process of a test.
#pragma once

#include "childprocess.h"

#include <filesystem>
#include <memory>
#include <string>

namespace magnolia::sessions
{

/** Settings that differ between entries or tests; all other settings are fixed. */
struct EntryOptions
{
    std::string id;
    std::string configuration;
    std::string instances;
    /** Longest time of a drain. */
    int drainMs = 600'000;
};

class EntryProcess
{
public:
    EntryProcess(EntryOptions options, std::filesystem::path directory);

    /** Starts `magnoliastream serve`, after a stop as a new incarnation on the same addresses. */
    void start();
    /** Waits until the instance reports that it is ready. Returns false if it exits or on timeout. */
    [[nodiscard]] bool waitUntilReady() const;

    [[nodiscard]] const std::string &id() const
    {
        return m_options.id;
    }
    [[nodiscard]] const std::string &callerAddress() const
    {
        return m_callerAddress;
    }
    [[nodiscard]] const std::string &operatorAddress() const
    {
        return m_operatorAddress;
    }
    [[nodiscard]] const std::string &peerAddress() const
    {
        return m_peerAddress;
    }
    [[nodiscard]] ChildProcess &process()
    {
        return *m_process;
    }
    [[nodiscard]] std::string log() const;

private:
    void writeSettings() const;

    EntryOptions m_options;
    std::filesystem::path m_directory;
    std::string m_callerAddress;
    std::string m_operatorAddress;
    std::string m_peerAddress;
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace magnolia::sessions
