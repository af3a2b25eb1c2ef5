// Workers that answer before they have read a long body, without a length, and crash in the middle of their answers:
// whether the part that arrived is handed out as a whole answer.
#include "../standin/stage.h"

using namespace stage;

namespace
{

constexpr int deadlineMs = 2500;
/** `MaxBodyBytes` of the configuration is 4 MiB. */
constexpr std::size_t requestBytesCount = 2'000'000;
/** A network as between machines: the system's buffers on loopback would hold most of a body. */
constexpr int maxSegment = 1448;
constexpr int receiveBuffer = 128 * 1024;
constexpr int partCount = 30;
constexpr int partsBeforeCrash = 10;
constexpr int requestCount = 6;
/** A crashed worker sends nothing; its entry goes after three check-in intervals of 1,200 ms. */
constexpr std::int64_t entryLifeMs = 3600;

std::string part(int number)
{
    std::string text = "receipt line " + std::to_string(number) + ' ';
    text.resize(1000, static_cast<char>('a' + number % 26));
    return text;
}

std::string wholeAnswer()
{
    std::string body;
    for (int i = 1; i <= partCount; ++i) {
        body += part(i);
    }
    return body;
}

/** A worker of the service `app` that begins to answer as soon as it has the head of a request. */
class EarlyWorker
{
public:
    EarlyWorker(Store &store, Record &record, const std::string &ip, std::string zone)
        : m_store(store)
        , m_record(record)
        , m_id("i-" + newId())
        , m_server(
              ip,
              [this](const auto &connection) {
                  serve(*connection);
              },
              maxSegment, receiveBuffer)
    {
        store.put("servers/" + m_id,
            Json{{"Service", "app"}, {"Address", m_server.address()}, {"Zone", std::move(zone)}, {"Version", "v1"},
                {"Slots", 6}, {"State", "ready"}, {"ColdRemainingMs", 0}, {"SeqNo", 1},
                {"born",
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count()}}
                .dump());
    }

private:
    void serve(Connection &connection)
    {
        Message request;
        while (readHead(connection, request, nowMs() + 30'000)) {
            const std::string expected = request.field("Expect-Instance");
            if (!expected.empty() && expected != m_id) {
                connection.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + m_id
                    + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            if (request.method() != "POST") {
                connection.write(
                    "HTTP/1.1 200 OK\r\nInstance-Id: " + m_id + "\r\nServer-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            run(connection, request);
            return;
        }
    }
    void run(Connection &connection, const Message &request)
    {
        const std::string id = request.field("Request-Id");
        const auto length = static_cast<std::size_t>(std::atol(request.field("Content-Length").c_str()));
        m_record.line("run " + id + " at " + m_id + ", body of " + std::to_string(length) + " bytes not read yet");
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: 3e1b." + id
            + "\r\nServer-Load: 1,0,6\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n");
        const int last = isTroubleOn() ? partsBeforeCrash : partCount;
        for (int i = 1; i <= last; ++i) {
            connection.write(part(i));
            sleepMs(5);
        }
        if (isTroubleOn()) {
            // The system closes the sockets of a process that ends; what it has not read makes that a reset.
            m_record.line("crash of " + m_id + " in " + id + " after " + std::to_string(last) + " of "
                + std::to_string(partCount) + " parts");
            connection.close();
            m_server.stop();
            std::thread([this] {
                sleepMs(entryLifeMs);
                m_store.remove("servers/" + m_id);
            }).detach();
            return;
        }
        while (connection.input.size() < length && connection.fill(5000, 65'536)) { }
        m_record.line("whole answer of " + id + " written, " + std::to_string(connection.input.size())
            + " bytes of the body read, channel closed");
        connection.close();
    }

    Store &m_store;
    Record &m_record;
    std::string m_id;
    Server m_server;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argc > 1 ? argv[1] : ".";
    Record record(folder + "/record.txt");
    record.line(isTroubleOn() ? "workers crash in their answers" : "workers do not crash");
    const Network network;
    Store store(network.ip(1));
    const std::vector<std::string> zones{"gt-central-a", "gt-central-b", "gt-central-c"};
    std::vector<std::unique_ptr<EarlyWorker>> workers;
    const auto startWorker = [&](const std::string &zone) {
        workers.push_back(
            std::make_unique<EarlyWorker>(store, record, network.ip(100 + static_cast<int>(workers.size())), zone));
    };
    for (const std::string &it : zones) {
        startWorker(it);
    }
    store.put("op/config", sheetConfiguration(7).dump());
    Gateways gateways(network, record, store.address(), zones);
    gateways.startAll();
    sleepMs(3500);
    int mixed = 0;
    int complete = 0;
    for (int k = 0; k < requestCount; ++k) {
        const auto machine = static_cast<std::size_t>(k) % zones.size();
        const auto connection = Connection::open(gateways.frontAddress(machine), 1000);
        const std::string id = newId();
        const std::int64_t sentAt = nowMs();
        record.line("send " + id + " (unsafe) to " + gateways.machines[machine].name);
        if (!connection
            || !connection->write(requestBytes(
                "POST", "/book/1", id, deadlineMs, std::string(requestBytesCount, static_cast<char>('0' + k))))) {
            giveUp("a request could not be sent");
        }
        Message answer;
        std::string end = "no answer";
        bool isWhole = false;
        if (readHead(*connection, answer, sentAt + deadlineMs + 1000)) {
            const std::string length = answer.field("Content-Length");
            const auto size = static_cast<std::size_t>(std::atol(length.c_str()));
            const bool isFramed = !length.empty();
            while ((!isFramed || connection->input.size() < size) && connection->fill(sentAt + deadlineMs - nowMs())) {
            }
            isWhole = isFramed ? connection->input.size() == size : connection->end() == "closed";
            end = std::to_string(answer.status()) + ", signature \"" + answer.field("Response-Signature")
                + "\", Content-Length " + (isFramed ? length : "none") + ", " + std::to_string(connection->input.size())
                + " bytes, " + (isWhole ? "complete by its framing" : "not complete");
        }
        record.line("answer to " + id + ": " + end);
        const bool isSuccess = answer.status() >= 200 && answer.status() < 300;
        if (isSuccess && isWhole && connection->input == wholeAnswer()) {
            ++complete;
        } else if (isSuccess && isWhole) {
            ++mixed;
            record.line("MIXED " + id + ": a success whose body has " + std::to_string(connection->input.size())
                + " of the " + std::to_string(wholeAnswer().size()) + " bytes of the worker's whole body");
        }
        if (isTroubleOn()) {
            // Another worker takes the place of the one that has crashed.
            startWorker(zones[static_cast<std::size_t>(k) % zones.size()]);
            sleepMs(4500);
        }
    }
    gateways.saveLogs("build-review/1.log");
    record.line("mixed " + std::to_string(mixed) + ", complete " + std::to_string(complete) + " of "
        + std::to_string(requestCount));
    if (!isTroubleOn() && complete < requestCount) {
        finish(mixed > 0 ? 1 : 2);
    }
    finish(mixed > 0 ? 1 : 0);
}
