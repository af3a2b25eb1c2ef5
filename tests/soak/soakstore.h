// The platform's store, as far as the published protocol says what readers see.
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
        /** 503 to every call. */
        Busy,
        /** No answer at all. */
        Silent,
        /** Each connection is reset when it asks. */
        Resetting,
    };

    SoakStore(eventloop::EventLoop &loop, const std::string &address);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    void setMode(Mode mode);
    /** History before now is gone. */
    void forgetHistory();
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
        std::uint64_t after = 0;
    };

    void serve(const std::shared_ptr<ServedConnection> &connection, const Request &request);
    void serveRange(ServedConnection &connection, const std::string &afterKey);
    bool serveWatch(ServedConnection &connection, std::uint64_t after, bool mayBeEmpty);
    void change(const Change &change);

    eventloop::EventLoop &m_loop;
    std::shared_ptr<HttpListener> m_listener;
    Mode m_mode = Mode::Serving;
    std::map<std::string, Change> m_items;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 10;
    std::uint64_t m_historyFrom = 10;
    std::vector<std::shared_ptr<Watch>> m_watches;
};

} // namespace magnolia::soak
