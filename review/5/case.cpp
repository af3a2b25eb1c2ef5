// A worker that leaves while the store cuts the watches that wait: whether requests reach it after `DrainMs`.
#include "../standin/stage.h"

using namespace stage;

namespace
{

constexpr std::int64_t drainMs = 2000;
/** The worker serves on for `DrainMs` and a little longer. */
constexpr std::int64_t lingerMs = 200;
constexpr int deadlineMs = 2500;
constexpr std::int64_t workMs = 30;
constexpr int requestersOfEachMachine = 4;
constexpr std::int64_t pauseMs = 20;

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argc > 1 ? argv[1] : ".";
    Record record(folder + "/record.txt");
    record.line(isTroubleOn() ? "the watches are cut" : "the watches are not cut");
    const Network network;
    Store store(network.ip(1));
    std::atomic<std::int64_t> removedAt = 0;
    std::atomic<int> late = 0;
    std::atomic<int> lateFailed = 0;
    std::mutex mutex;
    std::set<std::string> lateIds;
    const std::vector<std::string> zones{"gt-central-a", "gt-central-b", "gt-central-c"};
    std::vector<std::unique_ptr<Worker>> workers;
    const auto run = [&](Worker &worker, Connection &connection, const Message &request) {
        const std::string id = request.field("Request-Id");
        const std::int64_t at = nowMs();
        record.line("run " + id + " at " + worker.id());
        const bool isLeaver = &worker == workers.front().get();
        if (isLeaver && removedAt > 0 && at > removedAt + drainMs) {
            ++late;
            record.line("DRAIN " + id + " reaches " + worker.id() + ' ' + std::to_string(at - removedAt)
                + " ms after its entry was removed");
            const std::lock_guard lock(mutex);
            lateIds.insert(id);
        }
        sleepMs(workMs);
        if (worker.hasExited()) {
            return;
        }
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: 1." + id
            + "\r\nServer-Load: " + worker.load() + "\r\nContent-Length: 800\r\n\r\n" + std::string(800, 'b'));
    };
    for (std::size_t i = 0; i < zones.size(); ++i) {
        workers.push_back(std::make_unique<Worker>(
            store, network.ip(100 + static_cast<int>(i)), "i-" + newId(), "app", zones[i], 6, run));
    }
    store.put("op/config", sheetConfiguration(7).dump());
    for (const auto &it : workers) {
        it->announce();
    }
    Gateways gateways(network, record, store.address(), zones);
    gateways.startAll();

    std::atomic<bool> isOver = false;
    std::vector<std::thread> requesters;
    for (std::size_t i = 0; i < gateways.machines.size(); ++i) {
        for (int k = 0; k < requestersOfEachMachine; ++k) {
            requesters.emplace_back([&, i] {
                std::shared_ptr<Connection> connection;
                while (!isOver) {
                    if (!connection) {
                        connection = Connection::open(gateways.frontAddress(i), 1000);
                    }
                    const std::string id = newId();
                    record.line("send " + id + " to " + gateways.machines[i].name);
                    Message answer;
                    const std::int64_t until = nowMs() + deadlineMs;
                    const bool isAnswered = connection
                        && connection->write(requestBytes("POST", "/book/1", id, deadlineMs, "{\"pickup\":1}"))
                        && readHead(*connection, answer, until);
                    const auto size = static_cast<std::size_t>(std::atol(answer.field("Content-Length").c_str()));
                    bool isWhole = isAnswered;
                    while (isWhole && connection->input.size() < size) {
                        isWhole = connection->fill(until - nowMs());
                    }
                    record.line("end " + id + ' ' + (isWhole ? std::to_string(answer.status()) : "no answer"));
                    if (!isWhole || answer.status() != 200) {
                        const std::lock_guard lock(mutex);
                        lateFailed += lateIds.contains(id) ? 1 : 0;
                    }
                    if (isWhole && answer.field("Connection") != "close") {
                        connection->input.erase(0, size);
                    } else {
                        connection.reset();
                    }
                    sleepMs(pauseMs);
                }
            });
        }
    }
    // ContactMs passes without any disruption first.
    sleepMs(4500);
    if (store.waitingWatches() != static_cast<int>(gateways.machines.size())) {
        sleepMs(1000);
    }
    Worker &leaver = *workers.front();
    removedAt = isTroubleOn() ? store.removeAndCutWatches(leaver.key()) : store.remove(leaver.key());
    record.line("the store has removed the entry of " + leaver.id()
        + (isTroubleOn() ? " and cut the watches that waited" : ""));
    sleepMs(removedAt + drainMs + lingerMs - nowMs());
    leaver.exit();
    record.line("exit " + leaver.id());
    sleepMs(1500);
    isOver = true;
    for (std::thread &it : requesters) {
        it.join();
    }
    gateways.saveLogs("build-review/5.log");
    record.line("requests that reached the worker later than DrainMs: " + std::to_string(late) + ", of these "
        + std::to_string(lateFailed) + " got no success");
    finish(late > 0 ? 1 : 0);
}
