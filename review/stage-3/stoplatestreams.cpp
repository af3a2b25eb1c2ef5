// Case 11: in a planned stop, streams that are asked for late in the grace period are passed on and cut at its end.
#include "stage.h"

namespace
{

constexpr int requesterCount = 8;
/** Events come at the longest pause for which a response is on time. */
constexpr int gapMs = 250;
constexpr int tokensPerEvent = 38;
constexpr int firstStreamEvents = 20;
constexpr int secondStreamEvents = 18;
constexpr int deadlineMs = 10000;
/** Time from the first requests to the SIGTERM. */
constexpr int leadMs = 1000;
constexpr std::int64_t graceMs = 8000;
/** Requests sent no later than this after the SIGTERM do not count if their worker is at work at the end. */
constexpr std::int64_t excusedMs = 3000;
/** The planned work lasts until this time after `GraceS`. */
constexpr std::int64_t planAfterGraceMs = 1000;

std::mutex ranMutex;
std::map<std::string, int> runs;

bool answer(stage::Worker &worker, int fd, std::string & /*buffer*/, const stage::Head &head)
{
    const std::string id = head.value("Request-Id");
    if (head.value("Expect-Instance") != worker.id()) {
        return stage::sendAll(
            fd, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + worker.id() + "\r\nContent-Length: 0\r\n\r\n");
    }
    {
        const std::lock_guard lock(ranMutex);
        ++runs[id];
    }
    stage::record.line(
        "worker %s runs %s, %s ms are left for it", worker.id().c_str(), id.c_str(), head.value("Deadline-Ms").c_str());
    stage::sleepMs(50);
    bool isSent = stage::sendAll(fd,
        "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: sig-" + id
            + "\r\nServer-Load: 1,0,12\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string usage = head.value("Token-Usage");
    const int events = std::atoi(usage.substr(usage.find(',') + 1).c_str()) / tokensPerEvent;
    for (int i = 1; i <= events && isSent; ++i) {
        const std::string event = "id: " + std::to_string(i) + "\ndata: " + std::string(50, 'x') + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        isSent = stage::sendAll(fd, size + event + "\r\n");
        if (i < events) {
            stage::sleepMs(gapMs);
        }
    }
    isSent = isSent && stage::sendAll(fd, "0\r\n\r\n");
    stage::record.line("worker %s has %s %s", worker.id().c_str(), isSent ? "ended" : "been cut off from", id.c_str());
    return isSent;
}

struct Outcome
{
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
    int status = 0;
    bool isComplete = false;
    bool hasChannelEnded = false;
    bool isClosing = false;
};

Outcome request(int fd, const std::string &id, int events)
{
    Outcome outcome;
    outcome.sentAt = stage::nowMs();
    stage::record.line("requester sends %s", id.c_str());
    stage::sendAll(fd,
        "POST /ask/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\nModel: m\r\nToken-Usage: 1000,"
            + std::to_string(events * tokensPerEvent) + "\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:960\r\nDeadline-Ms: "
            + std::to_string(deadlineMs) + "\r\nContent-Length: 0\r\n\r\n");
    const std::int64_t until = outcome.sentAt + deadlineMs;
    std::string buffer;
    stage::Head head;
    if (stage::waitReadable(fd, deadlineMs) && stage::readHead(fd, buffer, head)) {
        outcome.status = head.status();
        outcome.isClosing = head.value("Connection") == "close";
        const std::string end = "0\r\n\r\n";
        for (;;) {
            outcome.isComplete = outcome.status != 200
                || (buffer.size() >= end.size() && buffer.compare(buffer.size() - end.size(), end.size(), end) == 0);
            if (outcome.isComplete || !stage::waitReadable(fd, until - stage::nowMs())) {
                break;
            }
            char bytes[4096];
            const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
            if (n <= 0) {
                outcome.hasChannelEnded = true;
                break;
            }
            buffer.append(bytes, static_cast<std::size_t>(n));
        }
    } else {
        outcome.hasChannelEnded = stage::nowMs() < until;
    }
    outcome.endedAt = stage::nowMs();
    stage::record.line("%s ends: status %d, %s%s", id.c_str(), outcome.status,
        outcome.isComplete ? "complete" : "not complete", outcome.hasChannelEnded ? ", the channel has ended" : "");
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
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h.example","Prefix":"/ask/","Kind":"streaming","TimeoutMs":10000,)"
        R"("TargetLatencyMs":250,"GapTargetMs":250,"Priority":1,"Service":"llm","MaxAttempts":2,"Public":true,)"
        R"("SessionAffinity":true,"Resumable":false}],)"
        R"("Services":[{"Name":"llm","HealthPath":"/health","MaxConnections":434,"Protocol":"h1","Tls":false,"Engine":{)"
        R"("Slots":12,"KvCapacityTokens":344250,"Stride":38,"Models":[{"Name":"m"}],"step_ms":1.31,"per_seq_ms":0.000917,)"
        R"("context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"report_lag_ms":200.0,)"
        R"("usual":{"prompt":11323,"answer":1266},"HopMs":0.1}}],)"
        R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})");
    std::vector<std::unique_ptr<stage::Worker>> workers;
    for (int i = 0; i < 3; ++i) {
        workers.push_back(std::make_unique<stage::Worker>(store, "i-" + std::to_string(i), "llm", "z", 12, answer));
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
    std::vector<Outcome> later(requesterCount);
    std::vector<std::thread> requesters;
    std::atomic<int> unserved{0};
    for (int i = 0; i < requesterCount; ++i) {
        requesters.emplace_back([&, i] {
            const int fd = stage::connectTo(first.front(), 1000);
            const Outcome before = request(fd, "early-" + std::to_string(i), firstStreamEvents);
            if (before.status != 200 || !before.isComplete) {
                ++unserved;
                return;
            }
            if (!before.isClosing) {
                later[static_cast<std::size_t>(i)] = request(fd, "late-" + std::to_string(i), secondStreamEvents);
            }
        });
    }
    stage::sleepMs(leadMs);
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
    if (unserved > 0) {
        stage::cannotRun("the first streams are not served");
    }
    int lost = 0;
    for (int i = 0; i < requesterCount; ++i) {
        const Outcome &it = later[static_cast<std::size_t>(i)];
        const std::string id = "late-" + std::to_string(i);
        const std::lock_guard lock(ranMutex);
        const bool isExcused = it.sentAt - stoppedAt <= excusedMs || it.endedAt - stoppedAt > graceMs + planAfterGraceMs
            || it.endedAt - it.sentAt >= deadlineMs;
        if (it.hasChannelEnded && !it.isComplete && runs.count(id) > 0 && !isExcused) {
            ++lost;
            stage::record.line(
                "LOST: %s was sent %.3f s after the SIGTERM, a worker ran it, and its channel ended at %.3f s",
                id.c_str(), static_cast<double>(it.sentAt - stoppedAt) / 1000,
                static_cast<double>(it.endedAt - stoppedAt) / 1000);
        }
    }
    stage::record.line("%d of %d late streams lost", lost, requesterCount);
    stage::finish(lost > 0 ? 1 : 0);
}
