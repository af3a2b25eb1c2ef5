// A stand-in as a child process of a test.
#pragma once

#include "childprocess.h"

#include <nlohmann/json_fwd.hpp>

#include <filesystem>
#include <string>
#include <vector>

namespace magnolia::sessions
{

class StandinProcess
{
public:
    /** Starts `magnolia-standin` in `role` on a free port and waits until it listens. */
    StandinProcess(const std::string &role, const std::string &id, const std::filesystem::path &directory,
        const std::vector<std::string> &options = {});

    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    /** `ip:port`. */
    [[nodiscard]] const std::string &address() const
    {
        return m_address;
    }
    [[nodiscard]] ChildProcess &process()
    {
        return m_process;
    }

    void control(const nlohmann::json &switches) const;
    void publish(const nlohmann::json &content) const;
    /** Returns the entries of the journal. */
    [[nodiscard]] nlohmann::json executedRequests() const;

private:
    std::string m_id;
    ChildProcess m_process;
    std::string m_address;
};

/** A temporary directory that is removed with this object. */
class ScratchDirectory
{
public:
    ScratchDirectory();
    ~ScratchDirectory();

    ScratchDirectory(const ScratchDirectory &) = delete;
    ScratchDirectory &operator=(const ScratchDirectory &) = delete;

    [[nodiscard]] const std::filesystem::path &path() const
    {
        return m_path;
    }

private:
    std::filesystem::path m_path;
};

} // namespace magnolia::sessions
