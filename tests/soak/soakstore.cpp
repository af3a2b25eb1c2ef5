// Serves range and watch requests, and simulates faults of the store.
#include "soakstore.h"

#include <nlohmann/json.hpp>
#include <Poco/Base64Encoder.h>
#include <Poco/URI.h>

#include <sstream>

namespace magnolia::soak
{

namespace
{

using Json = nlohmann::json;

/** Small, so that reading the whole store takes several pages. */
constexpr std::size_t maxPageItems = 8;
constexpr int historyLostStatus = 410;

std::string toBase64(const std::string &bytes)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

std::string queryParameter(const Poco::URI &uri, const std::string &name)
{
    for (const auto &[key, value] : uri.getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

std::uint64_t parseNumber(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

SoakStore::SoakStore(eventloop::EventLoop &loop, const std::string &address)
    : m_loop(loop)
    , m_listener(std::make_shared<HttpListener>(loop, [this](const auto &connection, const Request &request) {
        serve(connection, request);
    }))
{
    m_listener->listen(address);
}

void SoakStore::put(const std::string &key, const std::string &value)
{
    applyChange({key, value, ++m_revision, false});
}

void SoakStore::remove(const std::string &key)
{
    if (m_items.contains(key)) {
        applyChange({key, {}, ++m_revision, true});
    }
}

void SoakStore::applyChange(const Change &change)
{
    if (change.isDeleted) {
        m_items.erase(change.key);
    } else {
        m_items[change.key] = change;
    }
    m_history.push_back(change);
    serveWatches();
}

void SoakStore::serveWatches()
{
    if (m_mode != Mode::Serving) {
        return;
    }
    const auto watches = std::move(m_watches);
    m_watches.clear();
    for (const auto &it : watches) {
        const auto connection = it->connection.lock();
        if (connection && !serveWatch(*connection, it->afterRevision, false)) {
            m_watches.push_back(it);
        }
    }
}

void SoakStore::setMode(Mode mode)
{
    m_mode = mode;
    if (mode == Mode::Resetting) {
        m_listener->resetAll();
    }
    if (mode == Mode::Silent) {
        // Their connections stay open, and no answer comes on them any more.
        m_watches.clear();
    }
}

void SoakStore::takeCopy()
{
    m_copy = Copy{m_items, m_history, m_revision, m_historyStartRevision};
}

void SoakStore::restoreCopy(Milliseconds rewriteDelay)
{
    if (!m_copy) {
        return;
    }
    // Changes to write again; those to a key that has been written since the return are void.
    std::vector<Change> lost;
    for (const auto &[key, change] : m_items) {
        if (change.revision > m_copy->revision) {
            lost.push_back(change);
        }
    }
    for (const auto &[key, change] : m_copy->items) {
        if (!m_items.contains(key)) {
            lost.push_back({key, {}, 0, true});
        }
    }
    const std::uint64_t copiedRevision = m_copy->revision;
    m_items = m_copy->items;
    m_history = m_copy->history;
    m_revision = m_copy->revision;
    m_historyStartRevision = m_copy->historyStartRevision;
    m_copy.reset();
    ++m_era;
    // Watches from a revision that is not known any more end; the others go on.
    serveWatches();
    m_loop.after(rewriteDelay, [this, lost, copiedRevision] {
        for (const Change &it : lost) {
            const auto present = m_items.find(it.key);
            const bool isWrittenSince = present != m_items.end() && present->second.revision > copiedRevision;
            if (!isWrittenSince && it.isDeleted) {
                remove(it.key);
            } else if (!isWrittenSince) {
                put(it.key, it.value);
            }
        }
    });
}

void SoakStore::respond(ServedConnection &connection, int status, const std::string &body)
{
    connection.sendResponse(status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(m_era)}}, body);
}

void SoakStore::discardHistory()
{
    m_history.clear();
    m_historyStartRevision = m_revision;
}

std::string SoakStore::address() const
{
    return m_listener->address();
}

void SoakStore::serve(const std::shared_ptr<ServedConnection> &connection, const Request &request)
{
    if (m_mode == Mode::Unavailable) {
        respond(*connection, 503, {});
        return;
    }
    if (m_mode == Mode::Resetting) {
        connection->reset();
        return;
    }
    if (m_mode == Mode::Silent) {
        return;
    }
    const Poco::URI uri(request.head.target);
    if (uri.getPath() == "/-/kv-range") {
        serveRange(*connection, queryParameter(uri, "After"));
        return;
    }
    if (uri.getPath() != "/-/kv-watch") {
        respond(*connection, 404, {});
        return;
    }
    const std::uint64_t afterRevision = parseNumber(queryParameter(uri, "After"));
    if (serveWatch(*connection, afterRevision, false)) {
        return;
    }
    const auto watch = std::make_shared<Watch>(Watch{connection, afterRevision});
    m_watches.push_back(watch);
    const Milliseconds wait(static_cast<std::int64_t>(parseNumber(queryParameter(uri, "WaitMs"))));
    m_loop.after(wait, [this, watch] {
        const auto waitingConnection = watch->connection.lock();
        if (std::erase(m_watches, watch) > 0 && waitingConnection) {
            serveWatch(*waitingConnection, watch->afterRevision, true);
        }
    });
}

void SoakStore::serveRange(ServedConnection &connection, const std::string &afterKey)
{
    Json items = Json::array();
    auto it = m_items.upper_bound(afterKey);
    for (; it != m_items.end() && items.size() < maxPageItems; ++it) {
        items.push_back({{"Key", it->first}, {"Value", toBase64(it->second.value)}, {"Revision", it->second.revision},
            {"Created", it->second.revision}, {"Lease", 0}});
    }
    const Json body{{"Items", items}, {"HasMore", it != m_items.end()}, {"At", m_revision}};
    respond(connection, 200, body.dump());
}

/** Returns false, without a response, if there are no new events and an empty response is not allowed. */
bool SoakStore::serveWatch(ServedConnection &connection, std::uint64_t afterRevision, bool canBeEmpty)
{
    if (afterRevision < m_historyStartRevision || afterRevision > m_revision) {
        respond(connection, historyLostStatus, {});
        return true;
    }
    Json events = Json::array();
    for (const Change &it : m_history) {
        if (it.revision <= afterRevision) {
            continue;
        }
        if (it.isDeleted) {
            events.push_back({{"Key", it.key}, {"Revision", it.revision}, {"Deleted", true}});
        } else {
            events.push_back({{"Key", it.key}, {"Value", toBase64(it.value)}, {"Revision", it.revision},
                {"Created", it.revision}, {"Lease", 0}});
        }
    }
    if (events.empty() && !canBeEmpty) {
        return false;
    }
    respond(connection, 200, Json{{"events", events}, {"At", m_revision}}.dump());
    return true;
}

} // namespace magnolia::soak
