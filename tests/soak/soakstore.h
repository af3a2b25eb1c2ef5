// Simulates the reading side of the platform's store by its documented protocol.
#pragma once

#include "httpserving.h"

#include "framework/eventloop/eventloop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
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
    /** Keeps a copy of the present content for `restoreCopy`. */
    void takeCopy();
    /**
     * Continues from the copy, as a store that has lost its latest changes: revisions go back and are given out again.
     * The lost changes are written again after `rewriteDelay`. Does nothing without a copy.
     */
    void restoreCopy(Milliseconds rewriteDelay);
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

    struct Copy
    {
        std::map<std::string, Change> items;
        std::vector<Change> history;
        std::uint64_t revision = 0;
        std::uint64_t historyStartRevision = 0;
    };

    void serve(const std::shared_ptr<ServedConnection> &connection, const Request &request);
    void serveRange(ServedConnection &connection, const std::string &afterKey);
    bool serveWatch(ServedConnection &connection, std::uint64_t afterRevision, bool canBeEmpty);
    void applyChange(const Change &change);
    void serveWatches();
    void respond(ServedConnection &connection, int status, const std::string &body);

    eventloop::EventLoop &m_loop;
    std::shared_ptr<HttpListener> m_listener;
    Mode m_mode = Mode::Serving;
    std::map<std::string, Change> m_items;
    std::vector<Change> m_history;
    std::optional<Copy> m_copy;
    /** Rises by one each time the store continues from a copy. */
    std::uint64_t m_era = 1;
    std::uint64_t m_revision = 10;
    std::uint64_t m_historyStartRevision = 10;
    std::vector<std::shared_ptr<Watch>> m_watches;
};

} // namespace magnolia::soak
