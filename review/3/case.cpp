// The operator takes the keys of the last tenant away: whether requests with keys that nobody holds are still refused.
#include "../standin/stage.h"

using namespace stage;

namespace
{

constexpr int deadlineMs = 2500;
constexpr std::int64_t configApplyMs = 2000;
constexpr int rounds = 5;
const std::string droppedKey = "n2ctnfzs989anu6wsjnb";
const std::string unknownKey = "zzzzzzzzzzzzzzzzzzzz";

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argc > 1 ? argv[1] : ".";
    Record record(folder + "/record.txt");
    record.line(isTroubleOn() ? "the last tenant is taken away" : "the tenant stays, a time-out changes");
    const Network network;
    Store store(network.ip(1));
    std::mutex mutex;
    std::set<std::string> hasRun;
    const auto run = [&](Worker &worker, Connection &connection, const Message &request) {
        const std::string id = request.field("Request-Id");
        record.line("run " + id + " at " + worker.id() + ", Tenant \"" + request.field("Tenant") + '"');
        {
            const std::lock_guard lock(mutex);
            hasRun.insert(id);
        }
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: 3e1b." + id
            + "\r\nServer-Load: " + worker.load() + "\r\nContent-Length: 2\r\n\r\nok");
    };
    const std::vector<std::string> zones{"gt-central-a", "gt-central-b", "gt-central-c"};
    std::vector<std::unique_ptr<Worker>> workers;
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
    sleepMs(3500);
    // Returns the status; 0 if there is no answer.
    const auto ask = [&](std::size_t machine, const std::string &key, const std::string &what, std::string &id) {
        id = newId();
        record.line("send " + id + " (unsafe, " + what + ") to " + gateways.machines[machine].name);
        const auto connection = Connection::open(gateways.frontAddress(machine), 1000);
        Message request{"POST /book/1 HTTP/1.1",
            {{"Host", "ficu95.example"}, {"Request-Id", id}, {"Deadline-Ms", std::to_string(deadlineMs)},
                {"Authorization", "Token " + key}, {"Content-Length", "7"}},
            "{\"n\":1}"};
        Message answer;
        if (!connection || !connection->write(text(request)) || !readHead(*connection, answer, nowMs() + deadlineMs)) {
            record.line("no answer to " + id);
            return 0;
        }
        record.line("answer to " + id + ": " + std::to_string(answer.status()));
        return answer.status();
    };
    std::string id;
    for (std::size_t machine = 0; machine < zones.size(); ++machine) {
        if (ask(machine, droppedKey, "key of the tenant", id) != 200
            || ask(machine, unknownKey, "unknown key", id) != 401) {
            giveUp("the keys are not checked before the change");
        }
    }
    Json next = sheetConfiguration(9);
    next["Routes"][0]["TimeoutMs"] = 9000;
    if (isTroubleOn()) {
        next["Tenants"] = Json::array();
    }
    const std::int64_t ackedAt = store.put("op/config", next.dump());
    record.line("configuration 9 acknowledged, Tenants " + next["Tenants"].dump());
    sleepMs(ackedAt + configApplyMs + 500 - nowMs());
    int unknownRuns = 0;
    int droppedRuns = 0;
    int refusedUnknown = 0;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t machine = 0; machine < zones.size(); ++machine) {
            refusedUnknown += ask(machine, unknownKey, "key that no configuration ever held", id) == 401 ? 1 : 0;
            {
                const std::lock_guard lock(mutex);
                unknownRuns += hasRun.contains(id) ? 1 : 0;
            }
            if (isTroubleOn()) {
                (void)ask(machine, droppedKey, "key that was taken away", id);
                const std::lock_guard lock(mutex);
                droppedRuns += hasRun.contains(id) ? 1 : 0;
            }
        }
        sleepMs(300);
    }
    gateways.saveLogs("build-review/3.log");
    const int asked = rounds * static_cast<int>(zones.size());
    record.line("run with a key that no configuration ever held " + std::to_string(unknownRuns) + " (refused with 401 "
        + std::to_string(refusedUnknown) + ") of " + std::to_string(asked) + ", with a key that was taken away "
        + std::to_string(droppedRuns));
    finish(unknownRuns + droppedRuns > 0 ? 1 : refusedUnknown == asked ? 0 : 2);
}
