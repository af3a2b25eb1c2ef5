// One gateway instance as a process of its own, started again and again under one name.
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
        std::filesystem::path folder;
        std::string name;
        std::string zone;
        std::string ip;
        /** First of a row of free ports: callers, readiness, directory, peers, metrics. */
        int firstPort = 0;
        std::string storeAddress;
        std::vector<std::string> seedIps;
    };

    explicit GatewayProcess(Options options);

    void start();
    void sendSignal(int signal);
    [[nodiscard]] bool isRunning();
    /** Name and number of the present start. */
    [[nodiscard]] std::string processName() const;
    [[nodiscard]] std::string callerAddress() const;
    [[nodiscard]] std::string readinessAddress() const;
    [[nodiscard]] std::string directoryAddress() const;
    [[nodiscard]] std::string metricsAddress() const;

    /** Set while it is stopped by a signal. */
    bool isPaused = false;
    /** It was told to stop and may end by itself. */
    bool isStopping = false;

private:
    [[nodiscard]] std::string addressOf(int offset) const;
    void writeSettings() const;

    Options m_options;
    std::unique_ptr<sessions::ChildProcess> m_process;
    int m_starts = 0;
};

} // namespace magnolia::soak
