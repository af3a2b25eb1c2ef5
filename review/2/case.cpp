// Requesters that resume their streams after the death of a gateway: whether the new run goes on after the last piece.
#include "../standin/stage.h"

using namespace stage;

namespace
{

constexpr int deadlineMs = 10'000;
constexpr int pieceCount = 20;
constexpr std::int64_t pieceGapMs = 200;
constexpr int streamCount = 4;

/** The streams with ids from a time stamp begin sooner, so that several of their pieces have arrived at the kill. */
constexpr std::int64_t leadMs = 900;

bool isStamped(int stream)
{
    return stream % 2 == 1;
}

/** Ids of the pieces of a stream: they increase by one, from 0 or from a time stamp of 63 bits. */
std::uint64_t firstId(int stream)
{
    constexpr std::uint64_t stampMs = 1'764'900'000'000;
    return isStamped(stream) ? stampMs << 22U : 0;
}

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/** Takes the whole pieces out of a chunked stream of events; each piece comes as one chunk or several. */
class PieceReader
{
public:
    /** Returns false when the stream is complete. */
    bool feed(std::string &input, std::vector<std::uint64_t> &ids)
    {
        while (true) {
            const std::size_t lineEnd = input.find("\r\n");
            if (lineEnd == std::string::npos) {
                return true;
            }
            const std::size_t size = std::strtoul(input.c_str(), nullptr, 16);
            if (input.size() < lineEnd + 2 + size + 2) {
                return true;
            }
            m_text.append(input, lineEnd + 2, size);
            input.erase(0, lineEnd + 2 + size + 2);
            for (std::size_t end = 0; (end = m_text.find("\n\n")) != std::string::npos; m_text.erase(0, end + 2)) {
                ids.push_back(std::strtoull(m_text.c_str() + std::strlen("id: "), nullptr, 10));
            }
            if (size == 0) {
                return false;
            }
        }
    }

private:
    std::string m_text;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argc > 1 ? argv[1] : ".";
    Record record(folder + "/record.txt");
    record.line(isTroubleOn() ? "a gateway process is killed" : "no process is killed");
    const Network network;
    Store store(network.ip(1));
    const auto run = [&](Worker &worker, Connection &connection, const Message &request) {
        const std::string id = request.field("Request-Id");
        const std::string resumedAt = request.field("Last-Event-Id");
        const std::uint64_t first = firstId(std::atoi(request.target().c_str() + std::strlen("/ask/")));
        record.line("run " + id + " at " + worker.id() + ", Last-Event-Id "
            + (resumedAt.empty() ? "not given" : '"' + resumedAt + '"'));
        bool isWritten = connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: 3e1b." + id
            + "\r\nServer-Load: " + worker.load()
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        const std::uint64_t from = resumedAt.empty() ? first : std::strtoull(resumedAt.c_str(), nullptr, 10) + 1;
        for (std::uint64_t i = std::max(from, first); i < first + pieceCount && isWritten; ++i) {
            isWritten = connection.write(
                chunk("id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i - first) + "\n\n"));
            sleepMs(pieceGapMs);
            isWritten = isWritten && !connection.hasEnded();
        }
        if (isWritten) {
            connection.write("0\r\n\r\n");
        }
    };
    const std::vector<std::string> zones{"gt-central-a", "gt-central-b", "gt-central-c"};
    std::vector<std::unique_ptr<Worker>> workers;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        workers.push_back(std::make_unique<Worker>(
            store, network.ip(100 + static_cast<int>(i)), "i-" + newId(), "llm", zones[i], 16, run));
    }
    Json configuration = sheetConfiguration(7);
    configuration["Routes"].push_back({{"Name", "r-ask"}, {"Host", "ficu95.example"}, {"Prefix", "/ask/"},
        {"Kind", "streaming"}, {"TimeoutMs", deadlineMs}, {"TargetLatencyMs", 300}, {"Priority", 1}, {"Service", "llm"},
        {"MaxAttempts", 2}, {"Public", false}, {"SessionAffinity", true}, {"Resumable", true}, {"GapTargetMs", 250}});
    configuration["Services"].push_back(Json::parse(
        R"({"Name":"llm","HealthPath":"/health","MaxConnections":434,"Protocol":"h1","Tls":false,"Engine":{"Slots":16,
        "KvCapacityTokens":405000,"KvBytes":163840,"LinkMbps":400000.0,"Stride":34,"Models":[{"Name":"m"}],
        "step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,
        "chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":11323,"answer":1266},"HopMs":0.1}})"));
    store.put("op/config", configuration.dump());
    for (const auto &it : workers) {
        it->announce();
    }
    Gateways gateways(network, record, store.address(), zones);
    gateways.startAll();
    sleepMs(3500);
    std::atomic<int> begun = 0;
    std::atomic<int> twice = 0;
    std::atomic<int> missing = 0;
    std::atomic<int> whole = 0;
    std::vector<std::thread> requesters;
    for (int k = 0; k < streamCount; ++k) {
        requesters.emplace_back([&, k] {
            sleepMs(isStamped(k) ? 0 : leadMs);
            const std::int64_t until = nowMs() + deadlineMs;
            std::vector<std::uint64_t> ids;
            bool isComplete = false;
            // The first attempt goes to the machine that is killed; a broken stream is resumed once at another.
            for (int attempt = 0; attempt < 2 && !isComplete; ++attempt) {
                const std::size_t machine = attempt == 0 ? 0 : 1 + static_cast<std::size_t>(k) % 2;
                const std::string id = newId();
                std::vector<std::pair<std::string, std::string>> fields{
                    {"Model", "m"}, {"Token-Usage", "4960,1266"}, {"Prompt-Prefix", "5c1e07a2:40,91bd3f06:4920"}};
                if (!ids.empty()) {
                    fields.emplace_back("Last-Event-Id", std::to_string(ids.back()));
                }
                record.line("send " + id + " to " + gateways.machines[machine].name
                    + (ids.empty() ? "" : ", Last-Event-Id \"" + std::to_string(ids.back()) + '"'));
                const auto connection = Connection::open(gateways.frontAddress(machine), 1000);
                Message answer;
                if (!connection
                    || !connection->write(requestBytes("POST", "/ask/" + std::to_string(k), id,
                        static_cast<int>(until - nowMs()), "{\"prompt\":\"short\"}", fields))
                    || !readHead(*connection, answer, until) || answer.status() != 200) {
                    record.line("no stream for " + id);
                    continue;
                }
                const std::size_t before = ids.size();
                PieceReader reader;
                while (reader.feed(connection->input, ids)) {
                    if (attempt == 0 && before == 0 && !ids.empty()) {
                        // Counts once.
                        static thread_local bool hasBegun = false;
                        begun += hasBegun ? 0 : 1;
                        hasBegun = true;
                    }
                    if (!connection->fill(until - nowMs())) {
                        break;
                    }
                }
                isComplete = connection->end().empty();
                std::string list;
                for (std::size_t i = before; i < ids.size(); ++i) {
                    list += (list.empty() ? "" : " ") + std::to_string(ids[i]);
                }
                record.line("stream " + id + (isComplete ? " complete" : " broken off") + ", pieces " + list);
            }
            std::set<std::uint64_t> distinct(ids.begin(), ids.end());
            const bool hasRepeated = distinct.size() < ids.size();
            const bool hasMissing = isComplete && distinct.size() < pieceCount;
            twice += hasRepeated ? 1 : 0;
            missing += hasMissing ? 1 : 0;
            whole += isComplete && !hasRepeated && !hasMissing ? 1 : 0;
            record.line("request " + std::to_string(k) + ": "
                + (hasRepeated       ? "ORDER: pieces came twice"
                        : hasMissing ? "ORDER: pieces are missing"
                        : isComplete ? "each piece once"
                                     : "not complete"));
        });
    }
    if (isTroubleOn()) {
        for (const std::int64_t until = nowMs() + 3000; begun < streamCount && nowMs() < until;) {
            sleepMs(2);
        }
        gateways.signal(0, SIGKILL, "KILL");
        sleepMs(500);
        if (gateways.hasEnded(0)) {
            gateways.start(0);
        }
    }
    for (std::thread &it : requesters) {
        it.join();
    }
    gateways.saveLogs("build-review/2.log");
    record.line("streams with repeated pieces " + std::to_string(twice) + ", with missing pieces "
        + std::to_string(missing) + ", with each piece once " + std::to_string(whole) + " of "
        + std::to_string(streamCount));
    if (twice + missing > 0) {
        finish(1);
    }
    finish(whole == streamCount ? 0 : 2);
}
