// Runs one gateway instance as a child process that can be restarted under the same name.
#pragma once

#include "sessions/childprocess.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::soak
{

class GatewayProcess
{
public:
    struct Options
    {
        std::string binary;
        std::filesystem::path workDirectory;
        std::string name;
        std::string zone;
        std::string ip;
        /** First of six consecutive free ports: callers, readiness, directory, peers, relayed requests, metrics. */
        int firstPort = 0;
        std::string storeAddress;
        std::vector<std::string> seedIps;
    };

    explicit GatewayProcess(Options options);

    void start();
    /** Sets the binary of later starts. */
    void setBinary(std::string binary);
    void sendSignal(int signal);
    [[nodiscard]] bool isRunning();
    /** Returns the instance name and the number of its current start, for example "g2#1". */
    [[nodiscard]] std::string processName() const;
    /** Returns the IP address from which the connections of the process leave. */
    [[nodiscard]] const std::string &ip() const;
    [[nodiscard]] std::string callerAddress() const;
    [[nodiscard]] std::string readinessAddress() const;
    [[nodiscard]] std::string directoryAddress() const;
    [[nodiscard]] std::string metricsAddress() const;

    /** True between SIGSTOP and SIGCONT. */
    bool isPaused = false;
    /** True after SIGTERM: the process may end by itself. */
    bool isStopping = false;

private:
    [[nodiscard]] std::string makeAddress(int offset) const;
    void writeSettings() const;

    Options m_options;
    std::unique_ptr<sessions::ChildProcess> m_process;
    int m_startCount = 0;
};

} // namespace magnolia::soak
