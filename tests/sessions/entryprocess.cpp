// Writes the settings of an entry and starts it.
#include "entryprocess.h"

#include "freeports.h"
#include "httpcall.h"
#include "waiting.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <utility>

namespace magnolia::sessions
{

EntryProcess::EntryProcess(EntryOptions options, std::filesystem::path directory)
    : m_options(std::move(options))
    , m_directory(std::move(directory))
    , m_callerAddress(findFreeAddress())
    , m_operatorAddress(findFreeAddress())
    , m_peerAddress(findFreeAddress())
{
    writeSettings();
}

void EntryProcess::start()
{
    m_process.reset();
    const std::string settings = (m_directory / (id() + ".jsonc")).string();
    m_process = std::make_unique<ChildProcess>(
        MAGNOLIA_BINARY, std::vector<std::string>{"serve", "--settings", settings}, m_directory / (id() + ".err"));
}

bool EntryProcess::waitUntilReady() const
{
    return waitUntil([this] {
        return !m_process->isRunning() || call(m_operatorAddress, {"GET", "/readyz", {}, ""}).status == 200;
    }) && m_process->isRunning();
}

std::string EntryProcess::log() const
{
    std::ifstream file(m_directory / (id() + ".log"));
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void EntryProcess::writeSettings() const
{
    const nlohmann::json settings{{"instance", id()}, {"dataCentre", "dc-1"},
        {"caller", {{"address", m_callerAddress}}}, {"operator", {{"address", m_operatorAddress}}},
        {"peer",
            {{"address", m_peerAddress},
                {"keys", {{{"id", 1}, {"secret", "a-secret-of-the-session-tests-of-41-chars"}}}}, {"sendKey", 1}}},
        {"platform", {{"configuration", {m_options.configuration}}, {"instances", {m_options.instances}}}},
        {"log", {{"level", "info"}, {"file", (m_directory / (id() + ".log")).string()}}},
        {"limits", {{"locateTtlMs", 1000}, {"maxBodyBytes", 8'000'000}, {"drainMs", m_options.drainMs}}}};
    std::ofstream(m_directory / (id() + ".jsonc")) << "// settings of " << id() << "\n" << settings.dump(4);
}

} // namespace magnolia::sessions
