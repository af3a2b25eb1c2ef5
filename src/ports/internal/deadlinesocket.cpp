// Limits each receive to the time left until the deadline.
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
    const auto remaining = m_deadline - std::chrono::steady_clock::now();
    const auto remainingUs = std::chrono::duration_cast<std::chrono::microseconds>(remaining).count();
    if (remainingUs <= 0) {
        throw Poco::TimeoutException("the answer was not complete by the deadline");
    }
    setReceiveTimeout(Poco::Timespan(remainingUs));
    return StreamSocketImpl::receiveBytes(buffer, length, flags);
}

} // namespace magnolia::ports
