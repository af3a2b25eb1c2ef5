// Starts stand-ins and calls their control paths.
#include "standinprocess.h"

#include "httpcall.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <stdexcept>

namespace magnolia::sessions
{

namespace
{

std::vector<std::string> standinArgs(
    const std::string &role, const std::string &id, const std::vector<std::string> &options)
{
    std::vector<std::string> args{"--role", role, "--id", id, "--listen", "127.0.0.1:0"};
    args.insert(args.end(), options.begin(), options.end());
    return args;
}

std::string readAddress(const ChildProcess &process)
{
    const std::string prefix = "listening on ";
    const std::string line = process.readLine();
    if (!line.starts_with(prefix)) {
        throw std::runtime_error("magnolia-standin did not report its address");
    }
    return line.substr(prefix.size());
}

} // namespace

StandinProcess::StandinProcess(const std::string &role, const std::string &id, const std::filesystem::path &directory,
    const std::vector<std::string> &options)
    : m_id(id)
    , m_process(MAGNOLIA_STANDIN, standinArgs(role, id, options), directory / (id + ".log"))
    , m_address(readAddress(m_process))
{
}

void StandinProcess::control(const nlohmann::json &switches) const
{
    if (postJson(m_address, "/control", switches).status != 200) {
        throw std::runtime_error("magnolia-standin refused the control document");
    }
}

void StandinProcess::publish(const nlohmann::json &content) const
{
    if (postJson(m_address, "/control/publish", content).status != 200) {
        throw std::runtime_error("magnolia-standin refused the published content");
    }
}

nlohmann::json StandinProcess::executedRequests() const
{
    return fetchJson(m_address, "/control/journal").at("executed");
}

ScratchDirectory::ScratchDirectory()
{
    std::string name = (std::filesystem::temp_directory_path() / "magnolia-sessions-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    m_path = name;
}

ScratchDirectory::~ScratchDirectory()
{
    std::error_code ec;
    std::filesystem::remove_all(m_path, ec);
}

} // namespace magnolia::sessions
