// A client socket that stops receiving at a deadline, however slowly the other side sends.
#pragma once

#include <Poco/Net/StreamSocketImpl.h>

#include <chrono>

namespace magnolia::ports
{

/** A receive timeout restarts with each byte, so this class limits the time of the entire call. */
class DeadlineSocket : public Poco::Net::StreamSocketImpl
{
public:
    explicit DeadlineSocket(std::chrono::steady_clock::time_point deadline);

    int receiveBytes(void *buffer, int length, int flags) override;
    using StreamSocketImpl::receiveBytes;

private:
    std::chrono::steady_clock::time_point m_deadline;
};

} // namespace magnolia::ports
