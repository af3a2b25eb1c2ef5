// Upstreams of the soak: engines that write streams and hold memory, and plain services; all by their published words.
#pragma once

#include "httpserving.h"
#include "ledger.h"
#include "proxy.h"
#include "soakstore.h"

#include "framework/eventloop/eventloop.h"
#include "framework/global/random.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace magnolia::soak
{

/** How an upstream treats its requests for a while. */
enum class Sickness {
    None,
    /** Breaks answers off in the middle. */
    Breaking,
    /** Answers 500. */
    Failing,
    /** Answers 503 and says that nothing ran. */
    Shedding,
    /** Takes requests and says nothing. */
    Hanging,
};

class SoakUpstream
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string zone;
        std::string ip;
        bool isEngine = false;
        int memoryTokens = 100'000;
        /** Other entries that lead to the same process, one for each version of the versioned route. */
        std::vector<std::string> aliases;
    };

    SoakUpstream(eventloop::EventLoop &loop, Options options, SoakStore &store, Ledger &ledger, Random &random);

    /** Listens and says in the store that it is ready. `id` is that of a new start. */
    void start(const std::string &id);
    /** Dies without a word; its entry lapses later. */
    void crash();
    /** Says that it leaves; the process goes on until `end`. */
    void beginLeaving();
    void end();
    void setSickness(Sickness sickness);
    [[nodiscard]] Proxy &proxy();
    [[nodiscard]] bool isRunning() const;
    [[nodiscard]] bool isLeaving() const;
    [[nodiscard]] const std::string &id() const;
    /** Tokens that reservations hold now. */
    [[nodiscard]] int heldTokens();

private:
    struct Reservation
    {
        int tokens = 0;
        MonoTime until{};
    };
    struct Stream;

    void publish(const std::string &state);
    /** What runs when the process ends is cut by it, not by those in front. */
    void cutRunning();
    void serve(const std::shared_ptr<ServedConnection> &connection, const Request &request);
    void serveOrder(ServedConnection &connection, const Request &request);
    void beginStream(
        const std::shared_ptr<ServedConnection> &connection, const Request &request, const std::string &id);
    void writeEvent(const std::shared_ptr<Stream> &stream);
    void answerPlain(
        const std::shared_ptr<ServedConnection> &connection, const std::string &id, const std::string &name);

    eventloop::EventLoop &m_loop;
    Options m_options;
    SoakStore &m_store;
    Ledger &m_ledger;
    Random &m_random;
    std::shared_ptr<HttpListener> m_listener;
    std::shared_ptr<Proxy> m_proxy;
    std::string m_id;
    std::uint64_t m_born = 1'700'000'000'000;
    bool m_isLeaving = false;
    Sickness m_sickness = Sickness::None;
    std::map<std::string, Reservation> m_reservations;
    // Requests that were begun and not answered.
    std::set<std::string> m_running;
};

} // namespace magnolia::soak
