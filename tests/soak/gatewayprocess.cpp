// Writes the settings file of a gateway instance and controls its process.
#include "gatewayprocess.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <utility>

namespace magnolia::soak
{

namespace
{

constexpr int readinessOffset = 1;
constexpr int directoryOffset = 2;
constexpr int peerOffset = 3;
// The port after that of the peers takes relayed requests.
constexpr int metricsOffset = 5;

} // namespace

GatewayProcess::GatewayProcess(Options options)
    : m_options(std::move(options))
{
    writeSettings();
}

void GatewayProcess::writeSettings() const
{
    nlohmann::json seeds = nlohmann::json::array();
    for (const std::string &ip : m_options.seedIps) {
        seeds.push_back(ip + ":1");
    }
    const nlohmann::json settings{{"NodeName", m_options.name}, {"Zone", m_options.zone}, {"Region", "r"},
        {"Ip", m_options.ip},
        {"Listen", {{"Front", callerAddress()}, {"Readiness", readinessAddress()}, {"Directory", directoryAddress()}}},
        {"InternalPortRange", {m_options.firstPort + peerOffset, m_options.firstPort + peerOffset + 1}},
        {"Seeds", seeds}, {"Limits", {{"MaxFds", 4000}}},
        {"Bounds", {{"GraceS", 8}, {"RetryBudgetRatio", 0.2}, {"BudgetSlack", 100}, {"HoldMaxMs", 20'000}}},
        {"Platform", {{"Address", m_options.storeAddress}}}};
    std::ofstream(m_options.workDirectory / (m_options.name + ".json")) << settings;
}

void GatewayProcess::start()
{
    ++m_startCount;
    isPaused = false;
    isStopping = false;
    m_process = std::make_unique<sessions::ChildProcess>(m_options.binary,
        std::vector<std::string>{"platform", "--settings", m_options.workDirectory / (m_options.name + ".json"),
            "--metrics-port", std::to_string(m_options.firstPort + metricsOffset), "--source-address", m_options.ip},
        m_options.workDirectory / (m_options.name + ".err"), m_options.workDirectory / (m_options.name + ".log"));
}

void GatewayProcess::setBinary(std::string binary)
{
    m_options.binary = std::move(binary);
}

const std::string &GatewayProcess::ip() const
{
    return m_options.ip;
}

void GatewayProcess::sendSignal(int signal)
{
    m_process->sendSignal(signal);
}

bool GatewayProcess::isRunning()
{
    return m_process && m_process->isRunning();
}

std::string GatewayProcess::processName() const
{
    return m_options.name + '#' + std::to_string(m_startCount);
}

std::string GatewayProcess::makeAddress(int offset) const
{
    return m_options.ip + ':' + std::to_string(m_options.firstPort + offset);
}

std::string GatewayProcess::callerAddress() const
{
    return makeAddress(0);
}

std::string GatewayProcess::readinessAddress() const
{
    return makeAddress(readinessOffset);
}

std::string GatewayProcess::directoryAddress() const
{
    return makeAddress(directoryOffset);
}

std::string GatewayProcess::metricsAddress() const
{
    return makeAddress(metricsOffset);
}

} // namespace magnolia::soak
