// A child process of a test, which is killed at the end of the test if it still runs.
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace magnolia::sessions
{

class ChildProcess
{
public:
    /**
     * Starts `program` with `args`. Its standard error is appended to the file `errorLog`, its standard output to the
     * file `outputLog`; if that is empty, the output is read with readLine().
     */
    ChildProcess(const std::string &program, const std::vector<std::string> &args, std::filesystem::path errorLog,
        const std::filesystem::path &outputLog = {});
    /** Kills the process if it still runs. */
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Waits for a line on standard output and returns it without the line end; empty if the process ended before. */
    [[nodiscard]] std::string readLine() const;
    void sendSignal(int signal) const;
    /** Sends SIGKILL, to simulate a crash, and waits for the process to end. */
    void kill();
    /** Waits for the process to end. Returns its exit status, or nothing if it does not end within `hangGuard`. */
    [[nodiscard]] std::optional<int> waitForExit();
    [[nodiscard]] bool isRunning();
    [[nodiscard]] const std::filesystem::path &errorLog() const
    {
        return m_errorLog;
    }
    [[nodiscard]] pid_t pid() const
    {
        return m_pid;
    }

private:
    void setExitStatus(int status);

    std::filesystem::path m_errorLog;
    // Invariant: m_exitStatus is set if and only if the process was reaped. No signal is sent after that, as the system
    // may reuse the process id.
    pid_t m_pid = -1;
    int m_outputFd = -1;
    std::optional<int> m_exitStatus;
};

} // namespace magnolia::sessions
