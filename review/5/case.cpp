// Requesters that pause while they read: whether the rest of the answer reaches them.
#include "../standin/stage.h"

using namespace stage;

namespace
{

constexpr int deadlineMs = 15'000;
constexpr std::int64_t pauseMs = 7500;
constexpr int requesterCount = 8;
constexpr int eventCount = 300;
constexpr std::size_t eventBytes = 1000;
constexpr int receiveBuffer = 64 * 1024;
constexpr std::size_t readBeforePause = 20'000;
/** The rule allows three. */
constexpr int maxLost = 3;

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::string(eventBytes, static_cast<char>('a' + id % 26))
        + "\n\n";
}

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argc > 1 ? argv[1] : ".";
    Record record(folder + "/record.txt");
    record.line(isTroubleOn() ? "requesters pause" : "requesters do not pause");
    const Network network;
    Store store(network.ip(1));
    std::mutex mutex;
    std::map<std::string, int> written;
    const auto run = [&](Worker &worker, Connection &connection, const Message &request) {
        const std::string id = request.field("Request-Id");
        record.line("run " + id + " at " + worker.id());
        const int first = std::atoi(request.field("Last-Event-Id").c_str()) + 1;
        bool isWritten = connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: 1." + id
            + "\r\nServer-Load: " + worker.load()
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = first; i <= eventCount && isWritten; ++i) {
            isWritten = connection.write(chunk(event(i)));
            sleepMs(3);
        }
        isWritten = isWritten && connection.write("0\r\n\r\n");
        record.line((isWritten ? "answer written " : "answer cut off ") + id);
        const std::lock_guard lock(mutex);
        written[id] += isWritten ? 1 : 0;
    };
    const std::vector<std::string> zones{"luzon-a", "luzon-b", "luzon-c"};
    std::vector<std::unique_ptr<Worker>> workers;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        workers.push_back(std::make_unique<Worker>(
            store, network.ip(100 + static_cast<int>(i)), "i-" + newId(), "llm", zones[i], 12, run));
    }
    Json configuration = sheetConfiguration(7);
    configuration["Routes"].push_back({{"Name", "r-review"}, {"Host", "ficu95.example"}, {"Prefix", "/review/"},
        {"Kind", "streaming"}, {"TimeoutMs", deadlineMs}, {"TargetLatencyMs", 8000}, {"Priority", 1},
        {"Service", "llm"}, {"MaxAttempts", 2}, {"Public", false}, {"SessionAffinity", true}, {"Resumable", true},
        {"GapTargetMs", 1000}});
    configuration["Services"].push_back(Json::parse(
        R"({"Name":"llm","HealthPath":"/health","MaxConnections":638,"Protocol":"h1","Tls":false,"Engine":{"Slots":12,
        "KvCapacityTokens":344250,"KvBytes":163840,"LinkMbps":400000.0,"Stride":38,"Models":[{"Name":"m"}],
        "step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,
        "chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":11323,"answer":1266},"HopMs":0.1}})"));
    store.put("op/config", configuration.dump());
    for (const auto &it : workers) {
        it->announce();
    }
    Gateways gateways(network, record, store.address(), zones,
        {{"Bounds",
            {{"ContactMs", 4000}, {"AckTimeoutMs", 6000}, {"CatchUpS", 6}, {"DrainMs", 3000}, {"ConfigApplyMs", 3000},
                {"MaxStretchMs", 6000}, {"BudgetSlack", 230}, {"ColdOver", 1.5}, {"ColdSlack", 5}, {"EvacuateMs", 5000},
                {"RecoveryS", 15}, {"PassMs", 200}}}});
    gateways.startAll();
    std::atomic<int> lost = 0;
    std::atomic<int> unfit = 0;
    const std::int64_t begin = nowMs() + 4500;
    std::vector<std::thread> requesters;
    for (int k = 0; k < requesterCount; ++k) {
        requesters.emplace_back([&, k] {
            const auto machine = static_cast<std::size_t>(k) % zones.size();
            const auto connection = Connection::open(gateways.frontAddress(machine), 1000, receiveBuffer);
            std::string answer;
            std::string id;
            // The first request on the channel is read without a pause and makes it a kept one.
            for (const bool isPausing : {false, isTroubleOn()}) {
                sleepMs(begin - nowMs());
                id = newId();
                answer.clear();
                const std::int64_t sentAt = nowMs();
                record.line(
                    "send " + id + " to " + gateways.machines[machine].name + (isPausing ? ", with a pause" : ""));
                if (!connection
                    || !connection->write(requestBytes("POST", "/review/1", id, deadlineMs, "{\"prompt\":\"review\"}",
                        {{"Model", "m"}, {"Token-Usage", "2000,1266"},
                            {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:1200"}}))) {
                    ++unfit;
                    return;
                }
                bool hasPaused = !isPausing;
                std::string end = "complete";
                while (!connection->input.ends_with("\r\n0\r\n\r\n")) {
                    if (!hasPaused && connection->input.size() > readBeforePause) {
                        hasPaused = true;
                        sleepMs(pauseMs);
                    }
                    if (!connection->fill(sentAt + deadlineMs - nowMs(), 8192)) {
                        end = connection->end();
                        break;
                    }
                }
                record.line("end " + id + " after " + std::to_string(nowMs() - sentAt) + " ms and "
                    + std::to_string(connection->input.size()) + " bytes: " + end);
                if (end != "complete") {
                    const std::lock_guard lock(mutex);
                    const bool isLost = end != "time is up" && isPausing;
                    ++(isLost ? lost : unfit);
                    if (isLost) {
                        record.line("LOST " + id + ": passed on to a sound worker"
                            + (written[id] > 0 ? ", which has written its whole answer" : ""));
                    }
                    return;
                }
                connection->input.clear();
            }
        });
    }
    for (std::thread &it : requesters) {
        it.join();
    }
    gateways.saveLogs("build-review/5.log");
    record.line("lost " + std::to_string(lost) + " of " + std::to_string(requesterCount) + ", otherwise not complete "
        + std::to_string(unfit));
    if (unfit > 0) {
        finish(2);
    }
    finish(lost > maxLost ? 1 : 0);
}
