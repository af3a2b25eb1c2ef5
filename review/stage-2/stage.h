// Stand-ins for the cases 6 to 10: the platform's store, servers, clients and machines with the project's program.
//
// All addresses are loopback addresses. Each case has its own random part of 127.0.0.0/8, so that the ports, which are
// the same on all machines as on the platform, are free.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace stage
{

using Clock = std::chrono::steady_clock;

inline const Clock::time_point startedAt = Clock::now();

inline long nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startedAt).count();
}

inline void sleepMs(long ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Writes lines with the time since the start to record.txt and to standard output. */
class Record
{
public:
    static Record &get()
    {
        static Record record;
        return record;
    }

    void open(const std::string &path)
    {
        m_file.open(path, std::ios::trunc);
    }

    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        std::ostringstream out;
        out << nowMs() << " ms: " << line << '\n';
        std::cout << out.str() << std::flush;
        m_file << out.str() << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline void note(const std::string &line)
{
    Record::get().write(line);
}

/** First three numbers of the addresses of this run. */
inline std::string addressPrefix()
{
    static const std::string prefix = [] {
        std::random_device device;
        return "127." + std::to_string(20 + device() % 200) + '.' + std::to_string(1 + device() % 250) + '.';
    }();
    return prefix;
}

inline std::string ipOf(int number)
{
    return addressPrefix() + std::to_string(number);
}

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = socketAddress(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(fd, 1024) != 0) {
        note("cannot listen on " + ip + ':' + std::to_string(port));
        std::exit(2);
    }
    return fd;
}

/** Connects within `timeoutMs`; returns -1 if that fails. */
inline int connectTo(const std::string &ip, int port, int receiveBuffer = 0, int timeoutMs = 1000)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (receiveBuffer > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    const sockaddr_in address = socketAddress(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        pollfd waiting{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&waiting, 1, timeoutMs) != 1
            || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

/** A request or an answer; names of fields are in lower case. */
struct Message
{
    std::string firstLine;
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
    [[nodiscard]] std::string target() const
    {
        const auto first = firstLine.find(' ');
        return firstLine.substr(first + 1, firstLine.rfind(' ') - first - 1);
    }
    [[nodiscard]] int status() const
    {
        return firstLine.size() > 12 ? std::atoi(firstLine.c_str() + 9) : 0;
    }
};

inline Message parseHead(const std::string &head)
{
    Message message;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    message.firstLine = line.substr(0, line.find('\r'));
    while (std::getline(lines, line) && line != "\r") {
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            std::string value = line.substr(colon + 1, line.find('\r') - colon - 1);
            value.erase(0, value.find_first_not_of(' '));
            message.fields[lowerCase(line.substr(0, colon))] = value;
        }
    }
    return message;
}

/** Reads the head of a message into `message` and leaves what follows in `buffer`. */
inline bool readHead(int fd, std::string &buffer, Message &message)
{
    for (;;) {
        const auto end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            message = parseHead(buffer.substr(0, end + 2));
            buffer.erase(0, end + 4);
            return true;
        }
        char bytes[16384];
        const auto n = ::recv(fd, bytes, sizeof(bytes), 0);
        if (n <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
    }
}

/** Reads a message with a Content-Length or without a body. */
inline bool readMessage(int fd, std::string &buffer, Message &message)
{
    if (!readHead(fd, buffer, message)) {
        return false;
    }
    const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    while (buffer.size() < length) {
        char bytes[65536];
        const auto n = ::recv(fd, bytes, sizeof(bytes), 0);
        if (n <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
    }
    message.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

/** Accepts connections and serves each in a thread of its own, as `serve(fd)`, which closes the connection. */
class Server
{
public:
    Server(const std::string &ip, int port, std::function<void(int fd)> serve)
        : m_fd(listenOn(ip, port))
        , m_thread([this, serve = std::move(serve)] {
            for (;;) {
                const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                const int on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                std::thread([serve, fd] {
                    serve(fd);
                }).detach();
            }
        })
    {
        m_thread.detach();
    }

private:
    int m_fd;
    std::thread m_thread;
};

inline std::string base64(const std::string &bytes)
{
    constexpr const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63U];
        }
    }
    return text;
}

/** The platform's store: linearizable, complete history, watches that wait. */
class Store
{
public:
    Store(const std::string &ip, int port)
        : m_server(ip, port, [this](int fd) {
            serve(fd);
        })
    {
    }

    /** Writes an item; the return is the acknowledgement. */
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_items[key] = {value, ++m_revision};
        m_events.push_back({m_revision, itemJson(key)});
        m_changed.notify_all();
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_items.erase(key);
        ++m_revision;
        m_events.push_back(
            {m_revision, "{\"Key\":\"" + key + "\",\"Revision\":" + std::to_string(m_revision) + ",\"Deleted\":true}"});
        m_changed.notify_all();
    }

private:
    struct Item
    {
        std::string value;
        long revision = 0;
    };

    std::string itemJson(const std::string &key)
    {
        const Item &item = m_items[key];
        const std::string revision = std::to_string(item.revision);
        return "{\"Key\":\"" + key + "\",\"Value\":\"" + base64(item.value) + "\",\"Revision\":" + revision
            + ",\"Created\":" + revision + ",\"Lease\":0}";
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const auto at = target.find(name + '=');
        return at == std::string::npos
            ? std::string()
            : target.substr(at + name.size() + 1, target.find('&', at) - at - name.size() - 1);
    }

    std::string answer(const std::string &target)
    {
        std::unique_lock lock(m_mutex);
        std::string list;
        const auto add = [&list](const std::string &json) {
            list += (list.empty() ? "" : ",") + json;
        };
        if (target.starts_with("/-/kv-range")) {
            for (const auto &[key, item] : m_items) {
                if (key > parameter(target, "After")) {
                    add(itemJson(key));
                }
            }
            return "{\"Items\":[" + list + "],\"HasMore\":false,\"At\":" + std::to_string(m_revision) + '}';
        }
        const long after = std::atol(parameter(target, "After").c_str());
        m_changed.wait_for(lock, std::chrono::milliseconds(std::atol(parameter(target, "WaitMs").c_str())), [&] {
            return m_revision > after;
        });
        for (const auto &[revision, json] : m_events) {
            if (revision > after) {
                add(json);
            }
        }
        return "{\"events\":[" + list + "],\"At\":" + std::to_string(std::max(after, m_revision)) + '}';
    }

    void serve(int fd)
    {
        std::string buffer;
        Message request;
        while (readMessage(fd, buffer, request)) {
            const std::string body = answer(request.target());
            const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n";
            if (!sendAll(fd, head + body)) {
                break;
            }
        }
        ::close(fd);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<std::pair<long, std::string>> m_events;
    long m_revision = 100;
    Server m_server;
};

/** Ports, which are the same on all machines. */
struct Ports
{
    int front = 8227;
    int readiness = 8220;
    int control = 8229;
    int directory = 8224;
    int internal = 7340;
    int store = 8223;
    int server = 8080;
};

/** Bounds and limits of the settings file; the defaults are those of a small deployment. */
struct Bounds
{
    int contactMs = 3000;
    int drainMs = 2000;
    int graceS = 8;
    int configApplyMs = 2000;
    int budgetSlack = 106;
    int memoryMb = 260;
    int maxFds = 4100;
    double linkMbps = 1000;
    std::string extra;
};

/** A machine of the system: one process with the command of the deploy file. */
class Machine
{
public:
    Machine(int number, int count, const std::string &folder, const Bounds &bounds, const std::string &storeIp)
        : m_ip(ipOf(number))
        , m_name("front-" + std::to_string(number))
        , m_folder(folder + '/' + m_name)
    {
        ::mkdir(m_folder.c_str(), 0755);
        const Ports ports;
        std::ostringstream out;
        out << "{\"NodeName\":\"" << m_name << "\",\"Role\":\"gateway\",\"MachineClass\":\"front\","
            << "\"Serves\":[\"front\",\"control\",\"directory\"],\"Ip\":\"" << m_ip << "\",\"Zone\":\"zone-"
            << static_cast<char>('a' + number % 3) << "\",\"Region\":\"region\","
            << "\"Zones\":{\"zone-a\":\"region\",\"zone-b\":\"region\",\"zone-c\":\"region\"},\"Listen\":{\"Front\":\""
            << m_ip << ':' << ports.front << "\",\"Readiness\":\"" << m_ip << ':' << ports.readiness
            << "\",\"Control\":\"" << m_ip << ':' << ports.control << "\",\"Directory\":\"" << m_ip << ':'
            << ports.directory << "\"},\"InternalPortRange\":[" << ports.internal << ',' << ports.internal + 15
            << "],\"Seeds\":[";
        for (int i = 1; i <= std::min(count, 3); ++i) {
            out << (i > 1 ? "," : "") << '"' << ipOf(i) << ':' << ports.control << '"';
        }
        out << "],\"Bootstrap\":true,\"LossCounts\":false,\"Limits\":{\"CpuShare\":0.25,\"Cores\":1,\"MemoryMb\":"
            << bounds.memoryMb << ",\"MaxFds\":" << bounds.maxFds << ",\"LinkMbps\":" << bounds.linkMbps
            << ",\"DiskMb\":0},\"DataDir\":null,\"Discovery\":\"platform\",\"Entry\":\"directory\",\"HeartbeatMs\":"
               "1200,"
            << "\"Contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\","
            << "\"tenants\",\"platform\",\"spans\"],\"FaultTolerance\":{\"Machines\":1,\"Zones\":0,\"Regions\":0},"
            << "\"Bounds\":{\"SeedLagS\":3,\"AddrReuseS\":2,\"ContactMs\":" << bounds.contactMs
            << ",\"AckTimeoutMs\":4000,\"CatchUpS\":4,\"DrainMs\":" << bounds.drainMs << ",\"GraceS\":" << bounds.graceS
            << ",\"LossSlackMs\":200,\"ConfigApplyMs\":" << bounds.configApplyMs
            << ",\"RollbackSlackMs\":250,\"MaxStretchMs\":5000,\"RevokeStrict\":false,\"RevokeMs\":5000,"
            << "\"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10,\"BudgetSlack\":" << bounds.budgetSlack
            << ",\"RecoveryS\":12,\"PassMs\":120,\"RetryAfterS\":0,\"stall_ms\":1500,\"HoldMaxMs\":20000,"
            << "\"FreeMs\":4000,\"IdleMaxMs\":9000,\"ttl_max_s\":5" << bounds.extra << "},\"Platform\":{\"Address\":\""
            << storeIp << ':' << ports.store << "\",\"form\":\"read\",\"WritesPerS\":400,\"ReadsPerS\":2000,"
            << "\"HistoryS\":20,\"ValueBytes\":1048576,\"TtlMinMs\":1000}}";
        std::ofstream(m_folder + "/node.yaml") << out.str();
    }
    Machine(const Machine &) = delete;
    Machine &operator=(const Machine &) = delete;
    ~Machine()
    {
        kill(SIGKILL);
        wait();
    }

    void start()
    {
        const std::string settings = "MAGNOLIASTREAM_CONFIG=" + m_folder + "/node.yaml";
        const std::string log = m_folder + "/log-" + std::to_string(++m_starts) + ".txt";
        m_pid = ::fork();
        if (m_pid == 0) {
            // Called by the main thread only, so that the process ends with the case.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            const char *const arguments[]
                = {"target/src/app/magnoliastream", "platform", "--metrics-port", "9464", nullptr};
            const char *const environment[] = {settings.c_str(), "PATH=/usr/bin:/bin", nullptr};
            ::execve(arguments[0], const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
            ::_exit(127);
        }
        note(m_name + " starts");
    }

    void kill(int signal)
    {
        if (m_pid > 0) {
            ::kill(m_pid, signal);
        }
    }

    /** Waits for the end of the process; returns its status as waitpid() tells it. */
    int wait()
    {
        int status = 0;
        if (m_pid > 0) {
            ::waitpid(m_pid, &status, 0);
            m_pid = -1;
        }
        return status;
    }

    /** Whether the process has ended; `status` is then as waitpid() tells it. */
    bool hasEnded(int &status)
    {
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid <= 0;
    }

    [[nodiscard]] bool isReady() const
    {
        Message answer;
        return get(Ports().readiness, "/-/ready", answer) && answer.status() == 200;
    }

    /** Calls one of the machine's own interfaces on a new channel. */
    bool get(int port, const std::string &target, Message &answer) const
    {
        const int fd = connectTo(m_ip, port);
        if (fd < 0) {
            return false;
        }
        std::string buffer;
        const timeval limit{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        const bool isAnswered = sendAll(fd, "GET " + target + " HTTP/1.1\r\nHost: " + m_ip + "\r\n\r\n")
            && readMessage(fd, buffer, answer);
        ::close(fd);
        return isAnswered;
    }

    [[nodiscard]] const std::string &ip() const
    {
        return m_ip;
    }
    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }
    [[nodiscard]] pid_t pid() const
    {
        return m_pid;
    }
    [[nodiscard]] const std::string &folder() const
    {
        return m_folder;
    }

private:
    std::string m_ip;
    std::string m_name;
    std::string m_folder;
    pid_t m_pid = -1;
    int m_starts = 0;
};

/** Starts `count` machines and waits until all are ready and know each other; ends the case if that fails. */
inline std::vector<std::unique_ptr<Machine>> startMachines(
    int count, const std::string &folder, const Bounds &bounds, const std::string &storeIp)
{
    std::vector<std::unique_ptr<Machine>> machines;
    for (int i = 1; i <= count; ++i) {
        machines.push_back(std::make_unique<Machine>(i, count, folder, bounds, storeIp));
        machines.back()->start();
    }
    const long limit = nowMs() + 20'000;
    const auto isComplete = [&](const std::unique_ptr<Machine> &it) {
        Message answer;
        return it->isReady()
            && it->get(Ports().directory, "/-/resolve?Name=h.example&Region=region&Zone=zone-a", answer)
            && std::count(answer.body.begin(), answer.body.end(), ':') >= count + 2;
    };
    while (!std::all_of(machines.begin(), machines.end(), isComplete)) {
        if (nowMs() > limit) {
            note("the machines were not ready in time");
            machines.clear();
            ::_exit(2);
        }
        sleepMs(100);
    }
    note("all machines are ready");
    return machines;
}

inline std::string serverEntry(const std::string &service, const std::string &address, const std::string &zone,
    int slots, const std::string &state = "ready")
{
    return "{\"Service\":\"" + service + "\",\"Address\":\"" + address + "\",\"Zone\":\"" + zone
        + "\",\"Version\":\"1.0\",\"Slots\":" + std::to_string(slots) + ",\"State\":\"" + state
        + "\",\"ColdRemainingMs\":0,\"SeqNo\":1,\"born\":1760000000000}";
}

inline std::string configuration(int version, const std::string &routes, const std::string &services)
{
    return "{\"Version\":" + std::to_string(version) + ",\"Routes\":[" + routes + "],\"Services\":[" + services
        + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
          "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"tenant\",\"ApiKeys\":[\"key1\"],\"Priority\":1}]}";
}

inline std::string plainRoute(const std::string &name, const std::string &prefix, const std::string &kind,
    const std::string &service, int timeoutMs, int attempts)
{
    return "{\"Name\":\"" + name + "\",\"Host\":\"h.example\",\"Prefix\":\"" + prefix + "\",\"Kind\":\"" + kind
        + "\",\"TimeoutMs\":" + std::to_string(timeoutMs) + ",\"TargetLatencyMs\":500,\"Priority\":2,\"Service\":\""
        + service + "\",\"MaxAttempts\":" + std::to_string(attempts) + ",\"Public\":false}";
}

inline std::string plainService(const std::string &name, int maxConnections)
{
    return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/health\",\"MaxConnections\":" + std::to_string(maxConnections)
        + ",\"Protocol\":\"h1\",\"Tls\":false}";
}

/** Temporary folder of the run. */
inline std::string makeFolder()
{
    char path[] = "/tmp/review-XXXXXX";
    return ::mkdtemp(path) == nullptr ? std::string("/tmp") : std::string(path);
}

/** Ends the machines and the case; the threads of the stand-ins end with the process. */
[[noreturn]] inline void finish(int status, std::vector<std::unique_ptr<Machine>> &machines, const std::string &folder)
{
    machines.clear();
    if (std::getenv("KEEP") == nullptr && folder.starts_with("/tmp/review-")) {
        std::error_code ec;
        std::filesystem::remove_all(folder, ec);
    }
    std::cout << std::flush;
    ::_exit(status);
}

/** Whether the case is run with its disruption. */
inline bool hasTrouble()
{
    const char *const trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace stage
