// Cancels streams and releases reservations at upstreams, and retries until the upstream confirms.
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

    /** Queues the cancellation and returns at once. It is idempotent, so it is repeated if the answer is lost. */
    void cancel(const std::string &address, const RequestId &request);
    /** Queues the release of a memory reservation and returns at once. */
    void releaseReservation(const std::string &address, const std::string &reservation);

    /** Number of cancellations and releases that are neither confirmed nor given up. */
    [[nodiscard]] std::size_t pendingCount() const;

private:
    struct PendingCall
    {
        std::string address;
        /** Id of the request or reservation, sent with the call and logged. */
        RequestId request;
        std::string path;
        MonoTime dueAt{};
        MonoTime giveUpAt{};
    };

    void enqueue(PendingCall pending);
    void run();
    [[nodiscard]] bool tryCancel(const PendingCall &pending);

    static constexpr Milliseconds retryInterval{500};
    // If an engine is unreachable for longer, the reconciliation of engine memory releases what it still holds.
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
