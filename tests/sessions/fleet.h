// Starts entries, engines, a plain service and the platform's services as processes for one test.
#pragma once

#include "entryprocess.h"
#include "httpcall.h"
#include "sessionrecord.h"
#include "standinprocess.h"

#include <deque>
#include <string>
#include <vector>

namespace magnolia::sessions
{

struct FleetOptions
{
    int entries = 1;
    int engines = 1;
    std::vector<std::string> engineOptions{"--token-interval-ms", "5"};
    /** Longest time of a drain of an entry. */
    int drainMs = 600'000;
};

class Fleet
{
public:
    /** Starts all processes and waits until each entry is ready. */
    explicit Fleet(const FleetOptions &options = {});

    /** Entries and engines are numbered from 0. */
    [[nodiscard]] EntryProcess &entry(std::size_t number = 0)
    {
        return m_entries.at(number);
    }
    [[nodiscard]] StandinProcess &engine(std::size_t number = 0)
    {
        return m_engines.at(number);
    }
    [[nodiscard]] StandinProcess &service()
    {
        return m_service;
    }
    [[nodiscard]] StandinProcess &configuration()
    {
        return m_configuration;
    }
    /** Publishes the same configuration again, under a higher revision. */
    void publishConfiguration();
    /** Publishes the list of instances, with those in `leaving` in the state `leaving`. */
    void publishInstances(const std::vector<std::string> &leaving = {});
    /** Replaces the addresses of this fleet in the record by the instance ids. */
    void replaceAddresses(SessionRecord &record) const;
    /** Waits until the engine holds no stream. Returns false on timeout. */
    [[nodiscard]] static bool waitUntilNoStreams(const StandinProcess &engine);

private:
    ScratchDirectory m_directory;
    StandinProcess m_configuration;
    StandinProcess m_instances;
    StandinProcess m_service;
    std::deque<StandinProcess> m_engines;
    std::deque<EntryProcess> m_entries;
};

/** Returns a completion request of the class `counter`. */
[[nodiscard]] HttpRequest counterRequest(const std::string &requestId, int maxTokens, bool isStreamed);

/** Returns the request with the id that the entry assigned to it and sent to the engines. */
[[nodiscard]] HttpRequest withAssignedId(const HttpResponse &response, HttpRequest request);

} // namespace magnolia::sessions
