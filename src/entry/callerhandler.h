// The listener for callers: completions, plain services and the question which entries to use.
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
    /** Address that callers are told for this instance. */
    std::string advertisedAddress;
    Milliseconds locateTtl{5000};
    Bytes maxBodySize{16UL * 1024 * 1024};
    /** Time for a body to arrive, besides what its size adds at `slowestSender`. */
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

    /** From now on this instance is not named in answers to `locate`; requests are served as before. */
    void beginLeaving();
    [[nodiscard]] bool isLeaving() const;
    /** Requests under way, whatever they ask for. */
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
