// Case 14: a configuration shortens the idle time of channels while requesters read their answers slowly.
#include "stage.h"

#include <limits>

namespace
{

constexpr int requesterCount = 8;
constexpr std::size_t answerBytes = 400 * 1024;
/** A requester reads this much at a time, 100 KB a second in all. */
constexpr std::size_t readBytes = 10 * 1024;
constexpr int readIntervalMs = 100;
constexpr int deadlineMs = 10000;
/** Receive buffer of a requester, in bytes. */
constexpr int receiveBuffer = 32 * 1024;

/** What became of one request. */
struct Outcome
{
    int status = 0;
    std::size_t bodyBytes = 0;
    std::size_t statedBytes = 0;
    std::int64_t endedAt = 0;
    bool isComplete = false;
};

/** Idle time of channels before and after the configuration changes. */
constexpr int oldIdleMs = 15000;
constexpr int newIdleMs = 2000;
/** A configuration counts as planned work for `ConfigApplyMs` + 1 s after its acknowledgement. */
constexpr std::int64_t planMs = 4000;

std::mutex ranMutex;
std::map<std::string, std::int64_t> ranAt;

bool answer(stage::Worker &worker, int fd, std::string & /*buffer*/, const stage::Head &head)
{
    const std::string id = head.value("Request-Id");
    if (head.value("Expect-Instance") != worker.id()) {
        return stage::sendAll(
            fd, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + worker.id() + "\r\nContent-Length: 0\r\n\r\n");
    }
    stage::record.line("worker %s runs %s", worker.id().c_str(), id.c_str());
    {
        const std::lock_guard lock(ranMutex);
        ranAt[id] = stage::nowMs();
    }
    const std::size_t size = head.word(1).find("small") == std::string::npos ? answerBytes : 800;
    stage::sleepMs(30);
    const bool isSent = stage::sendAll(fd,
        "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: sig-" + id + "\r\nServer-Load: 1,0,6\r\n"
            + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x'));
    stage::record.line(
        "worker %s has %s its answer to %s", worker.id().c_str(), isSent ? "sent" : "not sent", id.c_str());
    return isSent;
}

std::string idOf(int round, std::size_t requester)
{
    return "slow-" + std::to_string(round) + "-" + std::to_string(requester);
}

/** Sends a request on a kept channel and reads the answer, slowly if asked for. */
Outcome request(int fd, const std::string &id, const std::string &path, bool isSlow)
{
    Outcome outcome;
    stage::record.line("requester sends %s", id.c_str());
    stage::sendAll(fd,
        "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n\r\n");
    std::string buffer;
    stage::Head head;
    const std::int64_t until = stage::nowMs() + deadlineMs;
    if (stage::waitReadable(fd, deadlineMs) && stage::readHead(fd, buffer, head)) {
        outcome.status = head.status();
        outcome.statedBytes = static_cast<std::size_t>(std::atoll(head.value("Content-Length").c_str()));
        stage::record.line("%s is answered %d, %zu bytes to come, Connection: %s", id.c_str(), outcome.status,
            outcome.statedBytes, head.value("Connection").c_str());
        outcome.bodyBytes = buffer.size();
        while (outcome.bodyBytes < outcome.statedBytes && stage::nowMs() < until) {
            if (isSlow) {
                stage::sleepMs(readIntervalMs);
            }
            std::vector<char> bytes(readBytes);
            const ssize_t n
                = stage::waitReadable(fd, until - stage::nowMs()) ? ::recv(fd, bytes.data(), bytes.size(), 0) : -2;
            if (n <= 0) {
                stage::record.line("%s: %s", id.c_str(),
                    n == 0        ? "the channel is closed"
                        : n == -2 ? "the deadline passes"
                                  : std::strerror(errno));
                break;
            }
            outcome.bodyBytes += static_cast<std::size_t>(n);
        }
    }
    outcome.endedAt = stage::nowMs();
    outcome.isComplete = outcome.status == 200 && outcome.bodyBytes == outcome.statedBytes;
    stage::record.line(
        "%s ends: status %d, %zu of %zu bytes", id.c_str(), outcome.status, outcome.bodyBytes, outcome.statedBytes);
    return outcome;
}

/** Sends one request on each channel; returns how many channels ended without a complete answer, and before `until`. */
int lostOf(int round, const std::vector<int> &channels, std::int64_t until = std::numeric_limits<std::int64_t>::max())
{
    std::vector<Outcome> outcomes(channels.size());
    std::vector<std::thread> requesters;
    const std::int64_t sentAt = stage::nowMs();
    for (std::size_t i = 0; i < channels.size(); ++i) {
        requesters.emplace_back([&, i] {
            outcomes[i] = request(channels[i], idOf(round, i), "/card/scan", true);
        });
    }
    for (std::thread &it : requesters) {
        it.join();
    }
    int lost = 0;
    for (std::size_t i = 0; i < channels.size(); ++i) {
        const std::lock_guard lock(ranMutex);
        const bool hasUsedMuchTime = outcomes[i].endedAt - sentAt > deadlineMs * 7 / 10;
        if (outcomes[i].isComplete || ranAt.count(idOf(round, i)) == 0 || hasUsedMuchTime
            || outcomes[i].endedAt > until) {
            continue;
        }
        ++lost;
        stage::record.line("LOST: %s ran, and its channel ended %.3f s after it was sent without a complete answer",
            idOf(round, i).c_str(), static_cast<double>(outcomes[i].endedAt - sentAt) / 1000);
    }
    return lost;
}

std::string configuration(int version, int idleMs)
{
    return "{\"Version\":" + std::to_string(version)
        + R"(,"Routes":[{"Name":"r","Host":"h.example","Prefix":"/card/","Kind":"safe","TimeoutMs":10000,)"
          R"("TargetLatencyMs":300,"Priority":1,"Service":"app","MaxAttempts":2,"Public":true}],)"
          R"("Services":[{"Name":"app","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}],)"
          R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":)"
        + std::to_string(idleMs) + "}}";
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 3) {
        return 2;
    }
    stage::record.open(std::string(argv[1]) + "/record.txt");
    stage::Store store;
    store.start();
    store.put("op/config", configuration(7, oldIdleMs));
    std::vector<std::unique_ptr<stage::Worker>> workers;
    for (int i = 0; i < 3; ++i) {
        workers.push_back(std::make_unique<stage::Worker>(store, "i-" + std::to_string(i), "app", "z", 6, answer));
        workers.back()->start();
    }
    stage::Gateway gateway("front-1", "z", argv[2]);
    stage::gateways = {&gateway};
    gateway.start(store, {gateway.control()}, stage::defaultBounds, 260);
    gateway.awaitReady();
    stage::sleepMs(1000);
    std::vector<int> channels;
    for (int i = 0; i < requesterCount; ++i) {
        channels.push_back(stage::connectTo(gateway.front(), 1000, receiveBuffer));
    }
    // Three rounds at other times, then one beside the configuration.
    int lostBefore = 0;
    for (int round = 0; round < 3; ++round) {
        lostBefore += lostOf(round, channels);
    }
    if (lostBefore > 0) {
        stage::cannotRun("requests are lost before the configuration changes");
    }
    if (stage::isTroubled()) {
        store.put("op/config", configuration(9, newIdleMs));
        stage::record.line("configuration 9 is acknowledged: IdleTimeoutMs %d", newIdleMs);
    }
    const std::int64_t acknowledgedAt = stage::nowMs();
    stage::sleepMs(300);
    const int lost = lostOf(3, channels, acknowledgedAt + planMs);
    stage::record.line(
        "%d of %d requests lost beside the configuration, none of %d before", lost, requesterCount, 3 * requesterCount);
    stage::finish(lost > 0 ? 1 : 0);
}
