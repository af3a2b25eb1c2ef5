// Case 13: configurations with many keys come in quick succession while requests are in progress.
#include "stage.h"

namespace
{

constexpr int memoryMb = 160;
constexpr std::int64_t bytesPerMb = 1024 * 1024;
/** Organisations and keys of each; with them a configuration has nearly 1 MB, as much as the store takes. */
constexpr int organisationCount = 1300;
constexpr int keysPerOrganisation = 31;
/** Two storms of configurations. */
constexpr int stormCount = 2;
constexpr int stormMs = 4000;
constexpr int stormGapMs = 330;
constexpr int stormPauseMs = 1000;
/** One request every 200 ms, each for 12 s; its first event comes after 4 s. */
constexpr int requestIntervalMs = 200;
constexpr int firstEventMs = 4000;
constexpr int eventIntervalMs = 500;
constexpr int eventCount = 16;
constexpr int deadlineMs = 15000;
constexpr int allowedLosses = 3;

std::mutex ranMutex;
std::map<std::string, bool> ran;

bool answer(stage::Worker &worker, int fd, std::string & /*buffer*/, const stage::Head &head)
{
    const std::string id = head.value("Request-Id");
    if (head.value("Expect-Instance") != worker.id()) {
        return stage::sendAll(
            fd, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + worker.id() + "\r\nContent-Length: 0\r\n\r\n");
    }
    {
        const std::lock_guard lock(ranMutex);
        ran[id] = true;
    }
    stage::record.line("worker %s runs %s", worker.id().c_str(), id.c_str());
    stage::sleepMs(firstEventMs);
    bool isSent = stage::sendAll(fd,
        "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: sig-" + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; i <= eventCount && isSent; ++i) {
        const std::string event = "id: " + std::to_string(i) + "\ndata: " + std::string(60, 'x') + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        isSent = stage::sendAll(fd, size + event + "\r\n");
        stage::sleepMs(eventIntervalMs);
    }
    return isSent && stage::sendAll(fd, "0\r\n\r\n");
}

std::string keyOf(int organisation, int key)
{
    char text[32];
    std::snprintf(text, sizeof text, "k%04d%02dn2ctnfzs989anu", organisation, key);
    return text;
}

std::string configuration(int version)
{
    std::string json = "{\"Version\":" + std::to_string(version)
        + R"(,"Routes":[{"Name":"r","Host":"h.example","Prefix":"/review/","Kind":"streaming","TimeoutMs":15000,)"
          R"("TargetLatencyMs":8000,"GapTargetMs":1000,"Priority":1,"Service":"llm","MaxAttempts":2,"Public":false,)"
          R"("SessionAffinity":true,"Resumable":true}],)"
          R"("Services":[{"Name":"llm","HealthPath":"/health","MaxConnections":638,"Protocol":"h1","Tls":false}],)"
          R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
          R"("Tenants":[)";
    for (int i = 0; i < organisationCount; ++i) {
        json += std::string(i > 0 ? "," : "") + "{\"Name\":\"org" + std::to_string(i) + "\",\"ApiKeys\":[";
        for (int k = 0; k < keysPerOrganisation; ++k) {
            json += std::string(k > 0 ? ",\"" : "\"") + keyOf(i, k) + "\"";
        }
        json += "]}";
    }
    return json + "]}";
}

struct Outcome
{
    bool hasAnswer = false;
    bool isComplete = false;
    bool hasChannelEnded = false;
};

Outcome request(int fd, const std::string &id)
{
    Outcome outcome;
    stage::record.line("requester sends %s", id.c_str());
    stage::sendAll(fd,
        "POST /review/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
            + "\r\nModel: m\r\nToken-Usage: 5000,600\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:4960\r\nDeadline-Ms: "
            + std::to_string(deadlineMs) + "\r\nAuthorization: Token " + keyOf(7, 3) + "\r\nContent-Length: 0\r\n\r\n");
    const std::int64_t until = stage::nowMs() + deadlineMs;
    std::string buffer;
    while (stage::nowMs() < until && stage::waitReadable(fd, until - stage::nowMs())) {
        char bytes[4096];
        const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            outcome.hasChannelEnded = true;
            break;
        }
        outcome.hasAnswer = true;
        buffer.append(bytes, static_cast<std::size_t>(n));
        if (buffer.size() >= 5 && buffer.compare(buffer.size() - 5, 5, "0\r\n\r\n") == 0) {
            outcome.isComplete = true;
            break;
        }
    }
    stage::record.line("%s ends: %s%s", id.c_str(),
        outcome.isComplete      ? "complete"
            : outcome.hasAnswer ? "incomplete"
                                : "no answer",
        outcome.hasChannelEnded ? ", the channel has ended" : "");
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
    int version = 7;
    store.put("op/config", configuration(version));
    stage::record.line("a configuration has %zu bytes", configuration(version).size());
    std::vector<std::unique_ptr<stage::Worker>> workers;
    for (int i = 0; i < 6; ++i) {
        workers.push_back(std::make_unique<stage::Worker>(store, "i-" + std::to_string(i), "llm", "z", 12, answer));
        workers.back()->start();
    }
    stage::Gateway gateway("front-1", "z", argv[2]);
    stage::gateways = {&gateway};
    gateway.start(store, {gateway.control()}, stage::defaultBounds, memoryMb);
    gateway.awaitReady();
    std::thread([&gateway] {
        watchMemory(gateway);
    }).detach();
    std::atomic<bool> isSending{true};
    std::mutex outcomesMutex;
    std::map<std::string, Outcome> outcomes;
    std::thread traffic([&] {
        std::vector<std::thread> requesters;
        for (int i = 0; isSending; ++i) {
            requesters.emplace_back([&, i] {
                const std::string id = "q-" + std::to_string(i);
                const int fd = stage::connectTo(gateway.front(), 1000);
                if (fd < 0) {
                    return;
                }
                // A request without a key is answered at once; the next one is on a kept channel.
                stage::sendAll(fd, "GET /none HTTP/1.1\r\nHost: h.example\r\nRequest-Id: first-" + id + "\r\n\r\n");
                std::string buffer;
                stage::Head head;
                if (stage::waitReadable(fd, 1000) && stage::readHead(fd, buffer, head) && head.status() == 404) {
                    const Outcome outcome = request(fd, id);
                    const std::lock_guard lock(outcomesMutex);
                    outcomes[id] = outcome;
                }
                ::close(fd);
            });
            stage::sleepMs(requestIntervalMs);
        }
        for (std::thread &it : requesters) {
            it.join();
        }
    });
    stage::sleepMs(8000);
    for (int storm = 0; storm < stormCount; ++storm) {
        for (const std::int64_t until = stage::nowMs() + stormMs; stage::nowMs() < until; stage::sleepMs(stormGapMs)) {
            if (stage::isTroubled()) {
                store.put("op/config", configuration(++version));
            }
        }
        stage::record.line("version %d is acknowledged", version);
        stage::sleepMs(stormPauseMs);
    }
    stage::sleepMs(2000);
    isSending = false;
    traffic.join();
    int lost = 0;
    int served = 0;
    for (const auto &[id, it] : outcomes) {
        const std::lock_guard lock(ranMutex);
        served += it.isComplete ? 1 : 0;
        if (it.hasChannelEnded && !it.hasAnswer && ran.count(id) > 0) {
            ++lost;
            stage::record.line("LOST: a worker ran %s, and the channel ended without an answer", id.c_str());
        }
    }
    stage::record.line("%d requests served, %d lost, %d allowed", served, lost, allowedLosses);
    stage::finish(lost > allowedLosses ? 1 : 0);
}
