// The listener for operators: metrics, health, status, and the order to stop gracefully.
#pragma once

#include "framework/httpserver/ihttphandler.h"
#include "framework/metrics/metricsregistry.h"

#include <functional>
#include <string>

namespace magnolia::entry
{

/** What the operators' listener asks of the instance; all of it is safe from any thread. */
struct OperatorCallbacks
{
    /** The status as JSON text. */
    std::function<std::string()> status;
    /** Empty where the instance is ready, else why it is not. */
    std::function<std::string()> notReady;
    /** Begins a graceful stop. */
    std::function<void()> drain;
};

class OperatorHandler : public IHttpHandler
{
public:
    OperatorHandler(OperatorCallbacks face, const metrics::MetricsRegistry &metrics);

    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override;
    void refuse(Poco::Net::HTTPServerResponse &response, const Error &error) override;

private:
    OperatorCallbacks m_callbacks;
    const metrics::MetricsRegistry &m_metrics;
};

} // namespace magnolia::entry
