// Case 12: requesters read large answers slowly, and the memory of the instance that holds the answers is limited.
#include "stage.h"

namespace
{

constexpr int requesterCount = 60;
/** One request every 100 ms. */
constexpr int requestIntervalMs = 100;
constexpr std::size_t answerBytes = 4 * 1024 * 1024;
/** A slow requester reads 64 KB every 100 ms, which is 640 KB a second. */
constexpr std::size_t readBytes = 64 * 1024;
constexpr int readIntervalMs = 100;
constexpr int deadlineMs = 15000;
constexpr int receiveBuffer = 64 * 1024;
/** A worker cuts off an answer of which nothing is read for this long. */
constexpr int workerPatienceS = 8;
constexpr int memoryMb = 160;
constexpr std::int64_t bytesPerMb = 1024 * 1024;
/** Channels that may end without an answer. */
constexpr int allowedLosses = 3;

std::mutex ranMutex;
/** Requests that workers have run, and whether the worker broke off its answer. */
std::map<std::string, bool> brokenOffByWorker;

bool answer(stage::Worker &worker, int fd, std::string & /*buffer*/, const stage::Head &head)
{
    const std::string id = head.value("Request-Id");
    if (head.value("Expect-Instance") != worker.id()) {
        return stage::sendAll(
            fd, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + worker.id() + "\r\nContent-Length: 0\r\n\r\n");
    }
    {
        const std::lock_guard lock(ranMutex);
        brokenOffByWorker[id] = false;
    }
    stage::record.line("worker %s runs %s", worker.id().c_str(), id.c_str());
    const timeval patience{workerPatienceS, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
    const std::size_t size = head.word(1).find("small") == std::string::npos ? answerBytes : 800;
    stage::sleepMs(30);
    const bool isSent = stage::sendAll(fd,
        "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: sig-" + id + "\r\nServer-Load: 1,0,6\r\n"
            + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x'));
    if (!isSent) {
        const bool isUnread = errno == EAGAIN || errno == EWOULDBLOCK;
        stage::record.line("worker %s breaks off %s: %s", worker.id().c_str(), id.c_str(),
            isUnread ? "unread for too long" : "its channel has ended");
        const std::lock_guard lock(ranMutex);
        brokenOffByWorker[id] = isUnread;
    }
    return isSent;
}

struct Outcome
{
    int status = 0;
    std::size_t bodyBytes = 0;
    std::size_t statedBytes = 0;
    bool hasChannelEnded = false;

    [[nodiscard]] bool isComplete() const
    {
        return status != 0 && bodyBytes == statedBytes;
    }
};

Outcome request(int fd, const std::string &id, const std::string &path, bool isSlow)
{
    Outcome outcome;
    stage::sendAll(fd,
        "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n\r\n");
    stage::record.line("requester sends %s", id.c_str());
    const std::int64_t until = stage::nowMs() + deadlineMs;
    std::string buffer;
    stage::Head head;
    if (stage::waitReadable(fd, deadlineMs)) {
        outcome.hasChannelEnded = !stage::readHead(fd, buffer, head);
        outcome.status = outcome.hasChannelEnded ? 0 : head.status();
        outcome.statedBytes = static_cast<std::size_t>(std::atoll(head.value("Content-Length").c_str()));
        outcome.bodyBytes = buffer.size();
    }
    std::vector<char> bytes(readBytes);
    while (outcome.status != 0 && !outcome.isComplete() && stage::nowMs() < until) {
        if (isSlow) {
            stage::sleepMs(readIntervalMs);
        }
        if (!stage::waitReadable(fd, until - stage::nowMs())) {
            break;
        }
        const ssize_t n = ::recv(fd, bytes.data(), bytes.size(), 0);
        if (n <= 0) {
            outcome.hasChannelEnded = true;
            break;
        }
        outcome.bodyBytes += static_cast<std::size_t>(n);
    }
    stage::record.line("%s ends: status %d, %zu of %zu bytes%s", id.c_str(), outcome.status, outcome.bodyBytes,
        outcome.statedBytes, outcome.hasChannelEnded ? ", the channel has ended" : "");
    return outcome;
}

/** Memory of a process that belongs to it alone, in bytes; 0 if it has ended. */
std::int64_t anonymousMemory(pid_t pid)
{
    const std::string path = "/proc/" + std::to_string(pid) + "/status";
    std::FILE *file = std::fopen(path.c_str(), "r");
    if (file == nullptr) {
        return 0;
    }
    char line[256];
    long long kilobytes = 0;
    while (std::fgets(line, sizeof line, file) != nullptr) {
        if (std::sscanf(line, "RssAnon: %lld kB", &kilobytes) == 1) {
            break;
        }
    }
    std::fclose(file);
    return kilobytes * 1024;
}

/** The platform: kills a process that exceeds its memory. */
void watchMemory(const stage::Gateway &gateway)
{
    std::int64_t recorded = 0;
    for (;;) {
        const std::int64_t held = anonymousMemory(gateway.pid());
        if (held > recorded + 20 * bytesPerMb) {
            recorded = held;
            stage::record.line("%s holds %lld MB", gateway.name().c_str(), static_cast<long long>(held / bytesPerMb));
        }
        if (held > memoryMb * bytesPerMb) {
            stage::record.line("%s exceeds %d MB and is killed", gateway.name().c_str(), memoryMb);
            ::kill(gateway.pid(), SIGKILL);
            return;
        }
        stage::sleepMs(20);
    }
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
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h.example","Prefix":"/card/","Kind":"safe","TimeoutMs":15000,)"
        R"("TargetLatencyMs":300,"Priority":1,"Service":"app","MaxAttempts":2,"Public":true}],)"
        R"("Services":[{"Name":"app","HealthPath":"/health","MaxConnections":520,"Protocol":"h1","Tls":false}],)"
        R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})");
    std::vector<std::unique_ptr<stage::Worker>> workers;
    for (int i = 0; i < 3; ++i) {
        workers.push_back(std::make_unique<stage::Worker>(store, "i-" + std::to_string(i), "app", "z", 6, answer));
        workers.back()->start();
    }
    stage::Gateway gateway("front-1", "z", argv[2]);
    stage::gateways = {&gateway};
    gateway.start(store, {gateway.control()}, stage::defaultBounds, memoryMb);
    gateway.awaitReady();
    stage::sleepMs(1000);
    std::vector<int> channels;
    for (int i = 0; i < requesterCount; ++i) {
        channels.push_back(stage::connectTo(gateway.front(), 1000, receiveBuffer));
        if (channels.back() < 0
            || !request(channels.back(), "warm-" + std::to_string(i), "/card/small", false).isComplete()) {
            stage::cannotRun("the first requests are not served");
        }
    }
    std::thread([&gateway] {
        watchMemory(gateway);
    }).detach();
    std::vector<Outcome> outcomes(requesterCount);
    std::vector<std::thread> requesters;
    for (int i = 0; i < requesterCount; ++i) {
        requesters.emplace_back([&, i] {
            stage::sleepMs(std::int64_t{i} * requestIntervalMs);
            const auto n = static_cast<std::size_t>(i);
            outcomes[n] = request(channels[n], "scan-" + std::to_string(i), "/card/scan", stage::isTroubled());
        });
    }
    for (std::thread &it : requesters) {
        it.join();
    }
    int lost = 0;
    int cutOff = 0;
    for (int i = 0; i < requesterCount; ++i) {
        const Outcome &it = outcomes[static_cast<std::size_t>(i)];
        const std::string id = "scan-" + std::to_string(i);
        const std::lock_guard lock(ranMutex);
        const auto ran = brokenOffByWorker.find(id);
        if (!it.hasChannelEnded || it.isComplete() || ran == brokenOffByWorker.end() || ran->second) {
            continue;
        }
        if (it.status == 0) {
            ++lost;
            stage::record.line("LOST: a worker ran %s, and the channel ended without an answer", id.c_str());
        } else {
            ++cutOff;
        }
    }
    stage::record.line("%d channels ended within an answer; they don't count here", cutOff);
    stage::record.line("%d of %d requests lost, %d allowed", lost, requesterCount, allowedLosses);
    stage::finish(lost > allowedLosses ? 1 : 0);
}
