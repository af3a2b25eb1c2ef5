// A small stage for the scripts of this review: the platform's store, workers and requesters as threads of one
// program, and the gateways as processes that it starts, all on loopback addresses and the real clock.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace stage
{

using Clock = std::chrono::steady_clock;

inline const Clock::time_point startedAt = Clock::now();

/** Milliseconds since the start of the script. */
inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startedAt).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(ms, 0)));
}

/** Writes what was sent, answered and run to `record.txt` in the folder of the case. */
class Record
{
public:
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
    }
    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        const std::lock_guard lock(m_mutex);
        std::FILE *out = m_file != nullptr ? m_file : stdout;
        std::fprintf(out, "%9.3f s  ", static_cast<double>(nowMs()) / 1000);
        va_list args;
        va_start(args, format);
        std::vfprintf(out, format, args);
        va_end(args);
        std::fputc('\n', out);
        std::fflush(out);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

inline Record record;

/** Ends the script because the case could not run. */
[[noreturn]] inline void cannotRun(const std::string &reason);

struct Address
{
    std::string ip;
    int port = 0;

    [[nodiscard]] std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

inline sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

/** Returns a listening socket, or -1; a port of 0 is replaced by the one that the system chose. */
inline int listenOn(Address &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in bound = toSocketAddress(address);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&bound), sizeof bound) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof bound;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&bound), &size);
    address.port = ntohs(bound.sin_port);
    return fd;
}

/** Returns a free port for TCP and UDP at an address; the next one is free too. */
inline int freePort(const std::string &ip)
{
    std::random_device device;
    for (int tries = 0; tries < 200; ++tries) {
        const int port = 20000 + static_cast<int>(device() % 12000);
        bool isFree = true;
        for (int i = 0; i < 2 && isFree; ++i) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
                const sockaddr_in bound = toSocketAddress({ip, port + i});
                isFree = isFree && ::bind(fd, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) == 0;
                ::close(fd);
            }
        }
        if (isFree) {
            return port;
        }
    }
    cannotRun("no free port");
}

/** Connects within the time limit; returns -1 if that fails. */
inline int connectTo(const Address &address, int timeoutMs, int receiveBuffer = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (receiveBuffer > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    const sockaddr_in to = toSocketAddress(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        pollfd wait{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&wait, 1, timeoutMs) != 1
            || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

/** Waits for input; returns false at the time limit. */
inline bool waitReadable(int fd, std::int64_t timeoutMs)
{
    pollfd wait{fd, POLLIN, 0};
    return ::poll(&wait, 1, static_cast<int>(std::max<std::int64_t>(timeoutMs, 0))) == 1;
}

/** Head of a request or an answer. */
struct Head
{
    std::string firstLine;
    std::map<std::string, std::string> fields;

    [[nodiscard]] std::string value(std::string name) const
    {
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
    [[nodiscard]] std::string word(int index) const
    {
        std::size_t from = 0;
        for (int i = 0; i < index; ++i) {
            from = firstLine.find(' ', from);
            if (from == std::string::npos) {
                return {};
            }
            ++from;
        }
        return firstLine.substr(from, firstLine.find(' ', from) - from);
    }
    [[nodiscard]] int status() const
    {
        return std::atoi(word(1).c_str());
    }
};

inline Head parseHead(const std::string &text)
{
    Head head;
    std::size_t from = 0;
    while (from < text.size()) {
        const std::size_t end = std::min(text.find("\r\n", from), text.size());
        const std::string line = text.substr(from, end - from);
        from = end + 2;
        if (head.firstLine.empty()) {
            head.firstLine = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
        const std::size_t value = line.find_first_not_of(" \t", colon + 1);
        head.fields[name] = value == std::string::npos ? std::string() : line.substr(value);
    }
    return head;
}

/** Reads one head; bytes after it stay in `buffer`. Returns false if the channel ends before. */
inline bool readHead(int fd, std::string &buffer, Head &head)
{
    for (;;) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            head = parseHead(buffer.substr(0, end));
            buffer.erase(0, end + 4);
            return true;
        }
        char bytes[4096];
        const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
    }
}

/** Reads a body of known length. */
inline bool readBody(int fd, std::string &buffer, std::size_t size, std::string &body)
{
    while (buffer.size() < size) {
        char bytes[16384];
        const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
    }
    body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

/** Accepts channels, each served by a thread of its own, until the script ends. */
inline void serve(int listening, std::function<void(int fd)> onChannel)
{
    std::thread([listening, onChannel = std::move(onChannel)] {
        for (;;) {
            const int fd = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EINTR || errno == ECONNABORTED) {
                    continue;
                }
                return;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([fd, onChannel] {
                onChannel(fd);
                ::close(fd);
            }).detach();
        }
    }).detach();
}

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t n = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            n = n << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out.push_back(i + k <= bytes.size() ? digits[n >> (18 - 6 * k) & 63U] : '=');
        }
    }
    return out;
}

/** The platform's store: items with revisions, ranges and watches. */
class Store
{
public:
    void start()
    {
        m_address.ip = "127.0.0.1";
        const int fd = listenOn(m_address);
        if (fd < 0) {
            cannotRun("the store cannot listen");
        }
        serve(fd, [this](int channel) {
            serveChannel(channel);
        });
    }
    [[nodiscard]] const Address &address() const
    {
        return m_address;
    }
    void put(const std::string &key, const std::string &value)
    {
        change(key, value, false);
    }
    void remove(const std::string &key)
    {
        change(key, {}, true);
    }
    /** While set, calls wait for the answer until it is cleared. */
    std::atomic<bool> isSilent{false};

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool isDeleted = false;
    };

    void change(const std::string &key, const std::string &value, bool isDeleted)
    {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        Item &item = m_items[key];
        const bool isNew = item.revision == 0 || item.isDeleted;
        item = {value, m_revision, isNew ? m_revision : item.created, isDeleted};
        m_changed.notify_all();
    }
    static std::string itemJson(const std::string &key, const Item &item)
    {
        std::string json = "{\"Key\":\"" + key + "\",";
        if (item.isDeleted) {
            return json + "\"Revision\":" + std::to_string(item.revision) + ",\"Deleted\":true}";
        }
        return json + "\"Value\":\"" + base64(item.value) + "\",\"Revision\":" + std::to_string(item.revision)
            + ",\"Created\":" + std::to_string(item.created) + ",\"Lease\":0}";
    }
    static std::string parameter(const std::string &target, const std::string &name)
    {
        std::size_t from = target.find('?');
        while (from != std::string::npos) {
            ++from;
            const std::size_t end = std::min(target.find('&', from), target.size());
            const std::string pair = target.substr(from, end - from);
            if (pair.compare(0, name.size() + 1, name + "=") == 0) {
                return pair.substr(name.size() + 1);
            }
            from = target.find('&', from);
        }
        return {};
    }
    std::string range(const std::string &prefix)
    {
        const std::lock_guard lock(m_mutex);
        std::string items;
        for (const auto &[key, item] : m_items) {
            if (!item.isDeleted && key.compare(0, prefix.size(), prefix) == 0) {
                items += (items.empty() ? "" : ",") + itemJson(key, item);
            }
        }
        return "{\"Items\":[" + items + "],\"HasMore\":false,\"At\":" + std::to_string(m_revision) + "}";
    }
    std::string watch(const std::string &prefix, std::uint64_t after, std::int64_t waitMs)
    {
        std::unique_lock lock(m_mutex);
        const auto until = Clock::now() + std::chrono::milliseconds(waitMs);
        std::string events;
        for (;;) {
            std::map<std::uint64_t, std::string> found;
            for (const auto &[key, item] : m_items) {
                if (item.revision > after && key.compare(0, prefix.size(), prefix) == 0) {
                    found[item.revision] = itemJson(key, item);
                }
            }
            for (const auto &[revision, json] : found) {
                events += (events.empty() ? "" : ",") + json;
            }
            if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        return "{\"events\":[" + events + "],\"At\":" + std::to_string(std::max(after, m_revision)) + "}";
    }
    void serveChannel(int fd)
    {
        std::string buffer;
        Head head;
        while (readHead(fd, buffer, head)) {
            while (isSilent) {
                sleepMs(20);
            }
            const std::string target = head.word(1);
            const std::string prefix = parameter(target, "Prefix");
            std::string body;
            if (target.find("/-/kv-range") == 0) {
                body = range(prefix);
            } else if (target.find("/-/kv-watch") == 0) {
                body = watch(prefix, std::strtoull(parameter(target, "After").c_str(), nullptr, 10),
                    std::atoll(parameter(target, "WaitMs").c_str()));
            }
            const std::string status = body.empty() ? "404 Not Found" : "200 OK";
            if (!sendAll(fd,
                    "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    Address m_address;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 100;
};

/** A worker that is entered in the store. */
class Worker
{
public:
    /** Serves one request whose head has been read; returns whether the channel goes on. */
    using Handler = std::function<bool(Worker &worker, int fd, std::string &buffer, const Head &head)>;

    Worker(Store &store, std::string id, std::string service, std::string zone, int slots, Handler handler)
        : m_store(store)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_slots(slots)
        , m_handler(std::move(handler))
        , m_born(
              std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                  .count())
    {
    }
    void start()
    {
        m_address.ip = "127.0.0.1";
        const int fd = listenOn(m_address);
        if (fd < 0) {
            cannotRun("a worker cannot listen");
        }
        serve(fd, [this](int channel) {
            std::string buffer;
            Head head;
            while (readHead(channel, buffer, head)) {
                if (!m_handler(*this, channel, buffer, head)) {
                    return;
                }
            }
        });
        enter("ready");
    }
    void enter(const std::string &state)
    {
        m_store.put("servers/" + m_id,
            "{\"Service\":\"" + m_service + "\",\"Address\":\"" + m_address.text() + "\",\"Zone\":\"" + m_zone
                + "\",\"Version\":\"v1\",\"Slots\":" + std::to_string(m_slots) + ",\"State\":\"" + state
                + "\",\"ColdRemainingMs\":0,\"SeqNo\":0,\"born\":" + std::to_string(m_born) + "}");
    }
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] const Address &address() const
    {
        return m_address;
    }

private:
    Store &m_store;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    int m_slots;
    Handler m_handler;
    std::int64_t m_born;
    Address m_address;
};

/** One instance of the system, started with the command of the deploy file. */
class Gateway
{
public:
    Gateway(std::string name, std::string zone, std::string folder)
        : m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_folder(std::move(folder))
    {
        // An address of its own for each instance, on which the port of the deploy file is free.
        std::random_device device;
        for (int tries = 0; tries < 50 && m_ip.empty(); ++tries) {
            Address metrics{"127." + std::to_string(10 + device() % 200) + "." + std::to_string(1 + device() % 200)
                    + "." + std::to_string(1 + device() % 200),
                metricsPort};
            if (const int fd = listenOn(metrics); fd >= 0) {
                ::close(fd);
                m_ip = metrics.ip;
            }
        }
        if (m_ip.empty()) {
            cannotRun("no free loopback address");
        }
        m_internalPort = freePort(m_ip);
        m_frontPort = freePort(m_ip);
        m_readyPort = freePort(m_ip);
        m_directoryPort = freePort(m_ip);
    }
    [[nodiscard]] std::string control() const
    {
        return m_ip + ":" + std::to_string(m_internalPort + 1000);
    }
    [[nodiscard]] int internalPort() const
    {
        return m_internalPort;
    }
    void useInternalPort(int port)
    {
        m_internalPort = port;
    }
    [[nodiscard]] Address front() const
    {
        return {m_ip, m_frontPort};
    }
    [[nodiscard]] Address readiness() const
    {
        return {m_ip, m_readyPort};
    }
    [[nodiscard]] Address directory() const
    {
        return {m_ip, m_directoryPort};
    }
    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }
    [[nodiscard]] pid_t pid() const
    {
        return m_pid;
    }
    void start(const Store &store, const std::vector<std::string> &seeds, const std::string &bounds, int memoryMb)
    {
        std::string seedList;
        for (const std::string &it : seeds) {
            seedList += (seedList.empty() ? "\"" : ",\"") + it + "\"";
        }
        const std::string path = m_folder + "/" + m_name + ".settings";
        std::FILE *file = std::fopen(path.c_str(), "w");
        std::fprintf(file,
            "{\"NodeName\":\"%s\",\"Role\":\"gateway\",\"MachineClass\":\"front\","
            "\"Serves\":[\"front\",\"control\",\"directory\"],\"Ip\":\"%s\",\"Zone\":\"%s\",\"Region\":\"r\","
            "\"Zones\":{\"%s\":\"r\"},\"Listen\":{\"Front\":\"%s\",\"Readiness\":\"%s\",\"Control\":\"%s\","
            "\"Directory\":\"%s\"},\"InternalPortRange\":[%d,%d],\"Seeds\":[%s],\"Bootstrap\":true,"
            "\"LossCounts\":false,\"Limits\":{\"CpuShare\":0.25,\"Cores\":1,\"MemoryMb\":%d,\"MaxFds\":4100,"
            "\"LinkMbps\":1000.0,\"DiskMb\":0},\"DataDir\":null,\"Discovery\":\"platform\",\"Entry\":\"directory\","
            "\"HeartbeatMs\":1200,\"FaultTolerance\":{\"Machines\":1,\"Zones\":0,\"Regions\":0},\"Bounds\":{%s},"
            "\"Platform\":{\"Address\":\"%s\",\"form\":\"read\",\"WritesPerS\":400,\"ReadsPerS\":2000,"
            "\"HistoryS\":20,\"ValueBytes\":1048576,\"TtlMinMs\":1000}}\n",
            m_name.c_str(), m_ip.c_str(), m_zone.c_str(), m_zone.c_str(), front().text().c_str(),
            readiness().text().c_str(), control().c_str(), directory().text().c_str(), m_internalPort,
            m_internalPort + 15, seedList.c_str(), memoryMb, bounds.c_str(), store.address().text().c_str());
        std::fclose(file);
        m_pid = ::fork();
        if (m_pid == 0) {
            // The process ends with the script, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open((m_folder + "/" + m_name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            ::setenv("MAGNOLIASTREAM_CONFIG", path.c_str(), 1);
            const std::string port = std::to_string(metricsPort);
            ::execl("target/src/app/magnoliastream", "target/src/app/magnoliastream", "platform", "--metrics-port",
                port.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        record.line("start %s (pid %d) at %s", m_name.c_str(), static_cast<int>(m_pid), front().text().c_str());
    }
    /** Asks for readiness as the platform does. */
    [[nodiscard]] bool isReady() const
    {
        const int fd = connectTo(readiness(), 500);
        if (fd < 0) {
            return false;
        }
        std::string buffer;
        Head head;
        sendAll(fd, "GET /-/ready HTTP/1.1\r\nHost: " + readiness().text() + "\r\nConnection: close\r\n\r\n");
        const bool isAnswered = waitReadable(fd, 1000) && readHead(fd, buffer, head);
        ::close(fd);
        return isAnswered && head.status() == 200;
    }
    void awaitReady() const
    {
        for (const std::int64_t until = nowMs() + 15000; nowMs() < until; sleepMs(50)) {
            if (isReady()) {
                record.line("%s is ready", m_name.c_str());
                return;
            }
        }
        cannotRun(m_name + " is not ready after 15 s");
    }
    void send(int signal, const char *signalName) const
    {
        record.line("%s to %s", signalName, m_name.c_str());
        ::kill(m_pid, signal);
    }
    /** Returns whether the process has ended by itself; records that once. */
    bool hasEnded()
    {
        int status = 0;
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            record.line("%s has ended (%s %d)", m_name.c_str(), WIFSIGNALED(status) ? "signal" : "exit",
                WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
            m_pid = 0;
        }
        return m_pid == 0;
    }
    void end()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }

private:
    static constexpr int metricsPort = 9464;

    std::string m_name;
    std::string m_zone;
    std::string m_folder;
    std::string m_ip;
    int m_internalPort = 0;
    int m_frontPort = 0;
    int m_readyPort = 0;
    int m_directoryPort = 0;
    pid_t m_pid = 0;
};

/** Processes to end with the script. */
inline std::vector<Gateway *> gateways;

/** Ends all processes and the script. */
[[noreturn]] inline void finish(int code)
{
    for (Gateway *it : gateways) {
        it->end();
    }
    record.line("exit %d", code);
    std::fflush(nullptr);
    ::_exit(code);
}

[[noreturn]] inline void cannotRun(const std::string &reason)
{
    record.line("could not run: %s", reason.c_str());
    finish(2);
}

/** Whether the disruption is played: not with TROUBLE=0. */
inline bool isTroubled()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string_view(trouble) != "0";
}

/** Bounds of the sheet of `hangganan-grown`. */
inline const std::string defaultBounds
    = "\"SeedLagS\":3,\"AddrReuseS\":2,\"ContactMs\":4000,\"AckTimeoutMs\":6000,\"CatchUpS\":6,\"DrainMs\":3000,"
      "\"GraceS\":8,\"LossSlackMs\":200,\"ConfigApplyMs\":3000,\"RollbackSlackMs\":250,\"MaxStretchMs\":6000,"
      "\"RevokeStrict\":false,\"RevokeMs\":5000,\"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10,\"BudgetSlack\":230,"
      "\"ColdOver\":1.5,\"ColdSlack\":5,\"EvacuateMs\":5000,\"RecoveryS\":15,\"PassMs\":200,\"RetryAfterS\":0,"
      "\"stall_ms\":1500,\"HoldMaxMs\":20000,\"FreeMs\":4000,\"IdleMaxMs\":9000,\"ttl_max_s\":5";

} // namespace stage
