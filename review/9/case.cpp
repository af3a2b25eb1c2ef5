// Most machines are lost for good; the directory of the others is asked for addresses.
#include "../stage-2/stage.h"

using namespace stage;

namespace
{

constexpr int machineCount = 9;
constexpr std::size_t lostCount = 5;
/** The rule counts machines that were lost longer ago than `ContactMs` and this time. */
constexpr long slackMs = 3000;
constexpr long askedForMs = 12'000;
constexpr long askInterval = 1000;
constexpr int allowedAnswers = 3;

/** Returns the addresses in an answer of the directory. */
std::vector<std::string> addressesIn(const std::string &body)
{
    std::vector<std::string> addresses;
    std::string text;
    for (const char c : body) {
        if (c == '"') {
            if (text.starts_with("127.")) {
                addresses.push_back(text.substr(0, text.find(':')));
            }
            text.clear();
        } else {
            text += c;
        }
    }
    return addresses;
}

} // namespace

int main(int /*argc*/, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record::get().open(argv[1]);
    const std::string folder = makeFolder();
    const std::string storeIp = ipOf(200);
    Store store(storeIp, Ports().store);
    const auto serve = [](int fd) {
        std::string buffer;
        Message request;
        while (readMessage(fd, buffer, request)
            && sendAll(fd,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("request-id")
                    + "\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok")) { }
        ::close(fd);
    };
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 3; ++i) {
        const std::string ip = ipOf(100 + i);
        servers.push_back(std::make_unique<Server>(ip, Ports().server, serve));
        store.put("servers/i-" + std::to_string(i),
            serverEntry("claims", ip + ':' + std::to_string(Ports().server), std::string("zone-") + char('a' + i), 6));
    }
    store.put("op/config",
        configuration(7, plainRoute("r-1", "/claims/", "safe", "claims", 4000, 2), plainService("claims", 440)));
    Bounds bounds;
    bounds.contactMs = 4000;
    bounds.drainMs = 3000;
    bounds.configApplyMs = 3000;
    auto machines = startMachines(machineCount, folder, bounds, storeIp);
    sleepMs(bounds.contactMs + 1000);

    std::vector<std::string> lost;
    if (hasTrouble()) {
        for (std::size_t i = machines.size() - lostCount; i < machines.size(); ++i) {
            lost.push_back(machines[i]->ip());
            machines[i]->kill(SIGKILL);
            machines[i]->wait();
            note(machines[i]->name() + " (" + machines[i]->ip() + ") is lost");
        }
    }
    sleepMs(bounds.contactMs + slackMs);
    int broken = 0;
    int asked = 0;
    for (const long end = nowMs() + askedForMs; nowMs() < end; sleepMs(askInterval)) {
        for (std::size_t i = 0; i + lostCount < machines.size(); ++i) {
            Message answer;
            if (!machines[i]->get(Ports().directory, "/-/resolve?Name=h.example&Region=region&Zone=zone-a", answer)) {
                continue;
            }
            ++asked;
            const auto addresses = addressesIn(answer.body);
            const auto named = std::count_if(addresses.begin(), addresses.end(), [&](const std::string &it) {
                return std::find(lost.begin(), lost.end(), it) != lost.end();
            });
            if (named > 0 && named < static_cast<long>(addresses.size())) {
                ++broken;
                note(machines[i]->name() + " names " + std::to_string(named) + " lost machines among "
                    + std::to_string(addresses.size()) + ": " + answer.body);
            }
        }
    }
    note(std::to_string(broken) + " of " + std::to_string(asked)
        + " answers name a lost machine beside a running one (DRAIN allows " + std::to_string(allowedAnswers) + ')');
    finish(asked == 0 ? 2 : broken > allowedAnswers ? 1 : 0, machines, folder);
}
