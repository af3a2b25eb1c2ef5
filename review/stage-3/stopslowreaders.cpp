// Case 11: an instance is stopped while requesters read their answers slowly.
#include "stage.h"

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
    store.put("op/config",
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h.example","Prefix":"/card/","Kind":"safe","TimeoutMs":10000,)"
        R"("TargetLatencyMs":300,"Priority":1,"Service":"app","MaxAttempts":2,"Public":true}],)"
        R"("Services":[{"Name":"app","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false}],)"
        R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})");
    std::vector<std::unique_ptr<stage::Worker>> workers;
    for (int i = 0; i < 3; ++i) {
        workers.push_back(std::make_unique<stage::Worker>(store, "i-" + std::to_string(i), "app", "z", 6, answer));
        workers.back()->start();
    }
    stage::Gateway first("front-1", "z", argv[2]);
    stage::Gateway second("front-2", "z", argv[2]);
    second.useInternalPort(first.internalPort());
    stage::gateways = {&first, &second};
    for (stage::Gateway *it : stage::gateways) {
        it->start(store, {first.control(), second.control()}, stage::defaultBounds, 260);
    }
    for (stage::Gateway *it : stage::gateways) {
        it->awaitReady();
    }
    stage::sleepMs(1500);
    std::vector<int> channels;
    for (int i = 0; i < requesterCount; ++i) {
        channels.push_back(stage::connectTo(first.front(), 1000, receiveBuffer));
        if (channels.back() < 0
            || !request(channels.back(), "warm-" + std::to_string(i), "/card/small", false).isComplete) {
            stage::cannotRun("the first requests are not served");
        }
    }
    std::vector<Outcome> outcomes(requesterCount);
    std::vector<std::thread> requesters;
    for (int i = 0; i < requesterCount; ++i) {
        requesters.emplace_back([&, i] {
            outcomes[static_cast<std::size_t>(i)]
                = request(channels[static_cast<std::size_t>(i)], "slow-" + std::to_string(i), "/card/scan", true);
        });
    }
    stage::sleepMs(500);
    const std::int64_t stoppedAt = stage::nowMs();
    if (stage::isTroubled()) {
        first.send(SIGTERM, "SIGTERM");
    }
    std::thread([&] {
        while (!first.hasEnded()) {
            stage::sleepMs(20);
        }
    }).detach();
    for (std::thread &it : requesters) {
        it.join();
    }
    int lost = 0;
    for (int i = 0; i < requesterCount; ++i) {
        const Outcome &it = outcomes[static_cast<std::size_t>(i)];
        const std::lock_guard lock(ranMutex);
        if (ranAt.count("slow-" + std::to_string(i)) == 0) {
            stage::cannotRun("a request has not reached a worker");
        }
        if (!it.isComplete) {
            ++lost;
            stage::record.line(
                "LOST: slow-%d ran at %.3f s, its channel ended %.3f s after the SIGTERM without a complete answer", i,
                static_cast<double>(ranAt["slow-" + std::to_string(i)]) / 1000,
                static_cast<double>(it.endedAt - stoppedAt) / 1000);
        }
    }
    stage::record.line("%d of %d requests lost", lost, requesterCount);
    stage::finish(lost > 0 ? 1 : 0);
}
