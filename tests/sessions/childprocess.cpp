// Starts, signals and reaps child processes.
#include "childprocess.h"

#include "waiting.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace magnolia::sessions
{

namespace
{

std::vector<char *> makeArgv(const std::string &program, const std::vector<std::string> &args)
{
    std::vector<char *> argv;
    argv.push_back(const_cast<char *>(program.c_str()));
    for (const std::string &it : args) {
        argv.push_back(const_cast<char *>(it.c_str()));
    }
    argv.push_back(nullptr);
    return argv;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &args,
    std::filesystem::path errorLog, const std::filesystem::path &outputLog)
    : m_errorLog(std::move(errorLog))
{
    std::vector<char *> argv = makeArgv(program, args);
    std::array<int, 2> output{};
    if (pipe2(output.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create the output pipe of a child process");
    }
    const int errorFd = open(m_errorLog.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    if (!outputLog.empty()) {
        close(output[1]);
        output[1] = open(outputLog.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    }
    m_pid = fork();
    if (m_pid == 0) {
        // Only async-signal-safe calls between fork and exec.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(output[1], STDOUT_FILENO);
        dup2(errorFd, STDERR_FILENO);
        execv(argv[0], argv.data());
        _exit(127);
    }
    close(output[1]);
    close(errorFd);
    m_outputFd = output[0];
    if (m_pid < 0) {
        throw std::runtime_error("cannot fork a child process");
    }
}

ChildProcess::~ChildProcess()
{
    kill();
    close(m_outputFd);
}

std::string ChildProcess::readLine() const
{
    std::string line;
    char c = '\0';
    while (read(m_outputFd, &c, 1) == 1 && c != '\n') {
        line += c;
    }
    return line;
}

void ChildProcess::sendSignal(int signal) const
{
    if (!m_exitStatus) {
        ::kill(m_pid, signal);
    }
}

void ChildProcess::kill()
{
    if (m_exitStatus) {
        return;
    }
    ::kill(m_pid, SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
    setExitStatus(status);
}

std::optional<int> ChildProcess::waitForExit()
{
    waitUntil([this] {
        return !isRunning();
    });
    return m_exitStatus;
}

bool ChildProcess::isRunning()
{
    if (m_exitStatus) {
        return false;
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return true;
    }
    setExitStatus(status);
    return false;
}

void ChildProcess::setExitStatus(int status)
{
    m_exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace magnolia::sessions
