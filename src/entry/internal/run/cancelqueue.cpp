// Cancels streams and releases reservations at upstreams.
#include "entry/cancelqueue.h"

#include "upstreams/iupstreamclient.h"

#include "framework/logging/log.h"

#include <algorithm>

namespace magnolia::entry
{

CancelQueue::CancelQueue(upstreams::IUpstreamClient &client)
    : m_client(client)
    , m_thread([this] {
        run();
    })
{
}

CancelQueue::~CancelQueue()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void CancelQueue::cancel(const std::string &address, const RequestId &request)
{
    const MonoTime now = std::chrono::steady_clock::now();
    enqueue({address, request, "/v1/streams/" + request.value(), now, now + giveUpAfter});
}

void CancelQueue::releaseReservation(const std::string &address, const std::string &reservation)
{
    const MonoTime now = std::chrono::steady_clock::now();
    enqueue({address, RequestId(reservation), "/v1/reservations/" + reservation, now, now + giveUpAfter});
}

void CancelQueue::enqueue(PendingCall pending)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_pendingCalls.push_back(std::move(pending));
    }
    m_wake.notify_all();
}

std::size_t CancelQueue::pendingCount() const
{
    const std::scoped_lock lock(m_mutex);
    return m_pendingCalls.size() + m_inProgress;
}

void CancelQueue::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        const MonoTime now = std::chrono::steady_clock::now();
        const auto isDue = [now](const PendingCall &pending) {
            return pending.dueAt <= now;
        };
        const auto it = std::find_if(m_pendingCalls.begin(), m_pendingCalls.end(), isDue);
        if (it == m_pendingCalls.end()) {
            m_wake.wait_for(lock, retryInterval);
            continue;
        }
        PendingCall pending = *it;
        m_pendingCalls.erase(it);
        m_inProgress = 1;
        lock.unlock();
        const bool isDone = tryCancel(pending);
        lock.lock();
        m_inProgress = 0;
        const MonoTime after = std::chrono::steady_clock::now();
        if (!isDone && after < pending.giveUpAt) {
            pending.dueAt = after + retryInterval;
            m_pendingCalls.push_back(pending);
        }
    }
}

bool CancelQueue::tryCancel(const PendingCall &pending)
{
    upstreams::UpstreamCall call;
    call.address = pending.address;
    call.method = "DELETE";
    call.path = pending.path;
    call.request = pending.request;
    call.connectTimeout = callTimeout;
    call.silenceTimeout = callTimeout;
    const auto answer = m_client.send(call, []() -> Result<void> {
        return {};
    });
    const bool isDone = answer && (*answer)->awaitHead(callTimeout) == upstreams::ReceiveState::Data;
    logging::write(logging::Level::Info, "entry", "cancel",
        {{"request", std::string_view(pending.request.value())}, {"address", std::string_view(pending.address)},
            {"confirmed", isDone}});
    return isDone;
}

} // namespace magnolia::entry
