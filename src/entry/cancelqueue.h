// Tells upstreams to give up streams and reservations that nobody needs any more, until they confirm.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace magnolia::upstreams
{
class IUpstreamClient;
}

namespace magnolia::entry
{

class CancelQueue
{
public:
    explicit CancelQueue(upstreams::IUpstreamClient &client);
    ~CancelQueue();
    CancelQueue(const CancelQueue &) = delete;
    CancelQueue &operator=(const CancelQueue &) = delete;

    /** Returns at once. Cancelling is idempotent, so that a lost answer only means one more try. */
    void cancel(const std::string &address, const RequestId &request);
    /** The same for a reservation of memory. */
    void releaseReservation(const std::string &address, const std::string &reservation);

    /** Cancellations that are not confirmed yet. */
    [[nodiscard]] std::size_t pendingCount() const;

private:
    struct PendingCall
    {
        std::string address;
        /** What the call is about, for the log. */
        RequestId request;
        std::string path;
        MonoTime dueAt{};
        MonoTime giveUpAt{};
    };

    void enqueue(PendingCall pending);
    void run();
    [[nodiscard]] bool tryCancel(const PendingCall &pending);

    static constexpr Milliseconds retryInterval{500};
    // An engine out of reach for longer is left to the reconciliation of engine memory.
    static constexpr Seconds giveUpAfter{120};
    static constexpr Milliseconds callTimeout{1000};

    upstreams::IUpstreamClient &m_client;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<PendingCall> m_pendingCalls;
    std::size_t m_inProgress = 0;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace magnolia::entry
