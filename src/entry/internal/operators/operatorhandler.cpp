// HTTP handler for operators.
#include "entry/operatorhandler.h"

#include "entry/internal/answer/erroranswer.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace magnolia::entry
{

namespace
{

using Poco::Net::HTTPResponse;

void send(Poco::Net::HTTPServerResponse &response, HTTPResponse::HTTPStatus status, const std::string &contentType,
    const std::string &body)
{
    response.setStatusAndReason(status);
    response.setContentType(contentType);
    response.sendBuffer(body.data(), body.size());
}

} // namespace

OperatorHandler::OperatorHandler(OperatorCallbacks face, const metrics::MetricsRegistry &metrics)
    : m_callbacks(std::move(face))
    , m_metrics(metrics)
{
}

void OperatorHandler::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const std::string &method = request.getMethod();
    const std::string path = request.getURI().substr(0, request.getURI().find('?'));
    if (method == "GET" && path == "/metrics") {
        send(response, HTTPResponse::HTTP_OK, "text/plain; version=0.0.4", m_metrics.toPrometheusText());
    } else if (method == "GET" && path == "/healthz") {
        send(response, HTTPResponse::HTTP_OK, "text/plain", "alive\n");
    } else if (method == "GET" && path == "/readyz") {
        const std::string reason = m_callbacks.notReady();
        const auto status = reason.empty() ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
        send(response, status, "text/plain", reason.empty() ? "ready\n" : reason + '\n');
    } else if (method == "GET" && path == "/status") {
        send(response, HTTPResponse::HTTP_OK, "application/json", m_callbacks.status());
    } else if (method == "POST" && path == "/drain") {
        m_callbacks.drain();
        send(response, HTTPResponse::HTTP_ACCEPTED, "text/plain", "draining\n");
    } else {
        response.setKeepAlive(false);
        refuse(response, {ResultCode::RequestUnknownPath, "no such operator path: " + method + ' ' + path});
    }
}

void OperatorHandler::refuse(Poco::Net::HTTPServerResponse &response, const Error &error)
{
    const auto status = static_cast<HTTPResponse::HTTPStatus>(resultCodeInfo(error.code).httpStatus);
    send(response, status, "application/json", errorJson(error, Outcome::NotRun, RequestId()));
}

} // namespace magnolia::entry
