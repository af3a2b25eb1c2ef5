// Receives within what is left of the time.
#include "ports/internal/deadlinesocket.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

namespace magnolia::ports
{

DeadlineSocket::DeadlineSocket(std::chrono::steady_clock::time_point deadline)
    : m_deadline(deadline)
{
}

int DeadlineSocket::receiveBytes(void *buffer, int length, int flags)
{
    const auto left = m_deadline - std::chrono::steady_clock::now();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(left).count();
    if (micros <= 0) {
        throw Poco::TimeoutException("no whole answer in time");
    }
    setReceiveTimeout(Poco::Timespan(micros));
    return StreamSocketImpl::receiveBytes(buffer, length, flags);
}

} // namespace magnolia::ports
