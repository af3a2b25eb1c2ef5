// Simulates the reading side of the platform's store by its documented protocol.
#pragma once

#include "httpserving.h"

#include "framework/eventloop/eventloop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::soak
{

class SoakStore
{
public:
    enum class Mode {
        Serving,
        /** Responds to every call with 503. */
        Unavailable,
        /** Does not respond. Calls that wait when it begins, or arrive meanwhile, are never answered. */
        Silent,
        /** Resets each connection that sends a request. */
        Resetting,
    };

    SoakStore(eventloop::EventLoop &loop, const std::string &address);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    void setMode(Mode mode);
    /** Discards the history up to the current revision. */
    void discardHistory();
    [[nodiscard]] std::string address() const;

private:
    struct Change
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool isDeleted = false;
    };
    struct Watch
    {
        std::weak_ptr<ServedConnection> connection;
        std::uint64_t afterRevision = 0;
    };

    void serve(const std::shared_ptr<ServedConnection> &connection, const Request &request);
    void serveRange(ServedConnection &connection, const std::string &afterKey);
    bool serveWatch(ServedConnection &connection, std::uint64_t afterRevision, bool canBeEmpty);
    void applyChange(const Change &change);

    eventloop::EventLoop &m_loop;
    std::shared_ptr<HttpListener> m_listener;
    Mode m_mode = Mode::Serving;
    std::map<std::string, Change> m_items;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 10;
    std::uint64_t m_historyStartRevision = 10;
    std::vector<std::shared_ptr<Watch>> m_watches;
};

} // namespace magnolia::soak
