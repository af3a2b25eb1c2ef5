// A process that a test starts and that ends with the test at the latest.
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
     * Starts `program` with `args`; its standard error goes to the file at `errorLog`, its standard output to the file
     * at `outputLog`, or where that is empty to `readLine`.
     */
    ChildProcess(const std::string &program, const std::vector<std::string> &args, std::filesystem::path errorLog,
        const std::filesystem::path &outputLog = {});
    /** Kills the process where it still runs. */
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Waits for one line on standard output, without its line end; empty where the process ended before. */
    [[nodiscard]] std::string readLine() const;
    void sendSignal(int signal) const;
    /** Kills the process as a crash would, and waits for its end. */
    void kill();
    /** Waits for the end; the exit status, or nothing where it has not ended within the hang guard. */
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
    void reap(int status);

    std::filesystem::path m_errorLog;
    // Invariant: m_exitStatus is set exactly when the process was waited for, so that its id is never reused here.
    pid_t m_pid = -1;
    int m_outputFd = -1;
    std::optional<int> m_exitStatus;
};

} // namespace magnolia::sessions
