// HTTP handler for callers: completions, plain services and `locate`, which lists the entry instances to use.
#pragma once

#include "blackboard/blackboard.h"
#include "entry/requestrunner.h"
#include "framework/global/random.h"
#include "framework/httpserver/ihttphandler.h"
#include "framework/httpserver/slowsenderwatch.h"

#include <atomic>
#include <mutex>
#include <string>

namespace magnolia::entry
{

struct CallerHandlerSettings
{
    InstanceId instance;
    /** Address of this instance that `locate` returns to callers. */
    std::string advertisedAddress;
    Milliseconds locateTtl{5000};
    Bytes maxBodySize{16UL * 1024 * 1024};
    /** Time limit for reading a body; a time that grows with the size of the body is added. */
    Milliseconds bodyTimeout{30000};
    int maxOpenRequests = 4000;
};

class CallerHandler : public IHttpHandler
{
public:
    CallerHandler(CallerHandlerSettings settings, const Blackboard &blackboard, RequestRunner &runner,
        const IClock &clock, std::uint64_t seed);

    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override;
    void refuse(Poco::Net::HTTPServerResponse &response, const Error &error) override;

    /** Removes this instance from later answers to `locate`; requests are still served. */
    void beginLeaving();
    [[nodiscard]] bool isLeaving() const;
    /** Number of open requests of all kinds, `locate` included. */
    [[nodiscard]] int openRequestCount() const;

private:
    void handleLocate(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void serve(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    [[nodiscard]] Result<std::string> readBody(
        Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    [[nodiscard]] RequestId requestIdOf(const Poco::Net::HTTPServerRequest &request);
    [[nodiscard]] RequestId uniqueRequestId(const RequestId &given);
    [[nodiscard]] RequestId newRequestId();

    CallerHandlerSettings m_settings;
    const Blackboard &m_blackboard;
    RequestRunner &m_runner;
    const IClock &m_clock;
    SlowSenderWatch m_slowSenderWatch;
    std::mutex m_randomMutex;
    Random m_random;
    std::atomic<int> m_openRequestCount = 0;
    std::atomic<bool> m_isLeaving = false;
};

} // namespace magnolia::entry
