// A worker leaves while a machine is restarted as planned: whether the restarted machine learns of it from its peers as
// if it were still there.
#include "../standin/stage.h"

using namespace stage;

namespace
{

constexpr std::int64_t drainMs = 2000;
constexpr std::int64_t contactMs = 3000;
/** Requests up to this long after `DrainMs` are the matter of another case and not counted here. */
constexpr std::int64_t otherCaseMs = 1000;
/** "At times many seconds" for which the worker serves on. */
constexpr std::int64_t lingerMs = 10'000;
constexpr int deadlineMs = 2500;
constexpr std::int64_t workMs = 30;
constexpr int requestersOfEachMachine = 3;
constexpr std::int64_t pauseMs = 30;
constexpr std::size_t restarted = 0;

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
    std::atomic<std::int64_t> startedAt = 0;
    std::atomic<int> late = 0;
    std::atomic<int> failed = 0;
    std::mutex mutex;
    std::map<std::string, std::size_t> machineOf;
    std::set<std::string> lateIds;
    const std::vector<std::string> zones{"gt-central-a", "gt-central-b", "gt-central-c"};
    std::vector<std::unique_ptr<Worker>> workers;
    const auto run = [&](Worker &worker, Connection &connection, const Message &request) {
        const std::string id = request.field("Request-Id");
        const std::int64_t at = nowMs();
        record.line("run " + id + " at " + worker.id());
        if (&worker == workers.front().get() && removedAt > 0 && at > removedAt + drainMs) {
            const std::lock_guard lock(mutex);
            const std::size_t machine = machineOf[id];
            const bool isInTouch = machine != restarted || at > startedAt + contactMs;
            const bool isCounted = isInTouch && at > removedAt + drainMs + otherCaseMs;
            if (isCounted) {
                ++late;
                lateIds.insert(id);
            }
            record.line(std::string(isCounted ? "DRAIN " : "late, not counted ") + id + " reaches " + worker.id() + ' '
                + std::to_string(at - removedAt) + " ms after its entry was removed, from machine "
                + std::to_string(machine));
        }
        sleepMs(workMs);
        if (!worker.hasExited()) {
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: 1." + id
                + "\r\nServer-Load: " + worker.load() + "\r\nContent-Length: 800\r\n\r\n" + std::string(800, 'b'));
        }
    };
    const auto addWorker = [&](std::size_t i) {
        workers.push_back(std::make_unique<Worker>(
            store, network.ip(100 + static_cast<int>(i)), "i-" + newId(), "app", zones[i % zones.size()], 6, run));
    };
    for (std::size_t i = 0; i < zones.size() + 1; ++i) {
        addWorker(i);
    }
    store.put("op/config", sheetConfiguration(7).dump());
    for (std::size_t i = 0; i < zones.size(); ++i) {
        workers[i]->announce();
    }
    Gateways gateways(network, record, store.address(), zones);
    gateways.startAll();
    sleepMs(3500);

    // The planned restart: SIGTERM, and the start after the process has ended.
    gateways.signal(restarted, SIGTERM, "SIGTERM");
    for (const std::int64_t until = nowMs() + 9000; !gateways.hasEnded(restarted);) {
        if (nowMs() > until) {
            giveUp("the machine does not end");
        }
        sleepMs(20);
    }
    sleepMs(300);

    // The worker is replaced: its entry is removed, and the new worker registers. The configuration changes once.
    Worker &leaver = *workers.front();
    removedAt = isTroubleOn() ? store.removeAndCutWatches(leaver.key()) : store.remove(leaver.key());
    record.line("the store has removed the entry of " + leaver.id()
        + (isTroubleOn() ? " and cut the watches that waited" : ""));
    startedAt = nowMs();
    gateways.start(restarted);
    gateways.waitUntilReady(restarted);
    sleepMs(70);
    const std::int64_t registeredAt = nowMs();
    workers.back()->announce();
    record.line("the new worker " + workers.back()->id() + " registers");
    sleepMs(registeredAt + 225 - nowMs());
    store.put("op/config", sheetConfiguration(9).dump());
    record.line("configuration 9 is acknowledged");

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
                    {
                        const std::lock_guard lock(mutex);
                        machineOf[id] = i;
                    }
                    record.line("send " + id + " to " + gateways.machines[i].name);
                    Message answer;
                    const std::int64_t until = nowMs() + deadlineMs;
                    bool isWhole = connection
                        && connection->write(requestBytes("POST", "/book/1", id, deadlineMs, "{\"pickup\":1}"))
                        && readHead(*connection, answer, until);
                    const auto size = static_cast<std::size_t>(std::atol(answer.field("Content-Length").c_str()));
                    while (isWhole && connection->input.size() < size) {
                        isWhole = connection->fill(until - nowMs());
                    }
                    record.line("end " + id + ' ' + (isWhole ? std::to_string(answer.status()) : "no answer"));
                    if (!isWhole || answer.status() != 200) {
                        const std::lock_guard lock(mutex);
                        failed += lateIds.contains(id) ? 1 : 0;
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
    sleepMs(removedAt + drainMs + lingerMs - nowMs());
    leaver.exit();
    record.line("exit " + leaver.id());
    sleepMs(1500);
    isOver = true;
    for (std::thread &it : requesters) {
        it.join();
    }
    gateways.saveLogs("build-review/5.log");
    record.line("requests that reached the worker later than DrainMs + 1 s from machines in touch: "
        + std::to_string(late) + ", of these " + std::to_string(failed) + " got no success");
    finish(late > 0 ? 1 : 0);
}
