// HTTP handler for operators: metrics, health, readiness, status and the command to drain the instance.
#pragma once

#include "framework/httpserver/ihttphandler.h"
#include "framework/metrics/metricsregistry.h"

#include <functional>
#include <string>

namespace magnolia::entry
{

/** Functions of the instance that the handler calls; all of them must be thread-safe. */
struct OperatorCallbacks
{
    /** Returns the status as JSON. */
    std::function<std::string()> status;
    /** Returns why the instance is not ready; empty if it is ready. */
    std::function<std::string()> notReady;
    /** Starts a graceful stop. */
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
