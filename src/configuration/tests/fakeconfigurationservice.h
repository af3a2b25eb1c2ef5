// Fake configuration service in virtual time, with replicas that lag, go down, stay stale or return old content.
#pragma once

#include "configuration/types/configurationeffect.h"
#include "configuration/types/configurationevent.h"
#include "framework/testing/schedule.h"

#include <functional>
#include <memory>
#include <vector>

namespace magnolia::testing
{

struct FakeReplica
{
    ConfigurationSnapshot visible;
    bool isDown = false;
    bool isStale = false;
    /** Answers at once with its content, whatever revision the caller already has. */
    bool ignoresAfter = false;
    /** When any of the flags above was last set or cleared. */
    MonoTime disruptedAt{};
};

class FakeConfigurationService
{
public:
    using Reply = std::function<void(configuration::ConfigurationEvent)>;
    /** Whether the calling instance can currently reach the service. */
    using ReachabilityCheck = std::function<bool()>;

    FakeConfigurationService(Schedule &schedule, std::size_t replicas)
        : m_schedule(schedule)
        , m_replicas(replicas)
    {
    }

    std::vector<FakeReplica> &replicas()
    {
        return m_replicas;
    }
    [[nodiscard]] std::uint64_t callCount() const
    {
        return m_callCount;
    }

    void publish(const ConfigurationSnapshot &snapshot)
    {
        m_latest = snapshot;
        for (std::size_t i = 0; i < m_replicas.size(); ++i) {
            const Milliseconds lag(m_schedule.random().below(maxLagMs));
            m_schedule.after(lag, [this, i] {
                updateReplica(i);
            });
        }
    }
    void setStale(std::size_t replica, bool isStale, bool ignoresAfter)
    {
        m_replicas[replica].isStale = isStale;
        m_replicas[replica].ignoresAfter = isStale && ignoresAfter;
        m_replicas[replica].disruptedAt = m_schedule.now();
        updateReplica(replica);
    }
    void setDown(std::size_t replica, bool isDown)
    {
        m_replicas[replica].isDown = isDown;
        m_replicas[replica].disruptedAt = m_schedule.now();
        if (!isDown) {
            updateReplica(replica);
            return;
        }
        for (const auto &waiting : takeWaiting(replica)) {
            attempt(waiting->call, waiting->triedCount + 1);
        }
    }

    void call(const configuration::CallService &request, ReachabilityCheck isReachable, Reply reply)
    {
        ++m_callCount;
        attempt(std::make_shared<Call>(Call{request, std::move(isReachable), std::move(reply)}), 0);
    }

private:
    struct Call
    {
        configuration::CallService request;
        ReachabilityCheck isReachable;
        Reply reply;
    };
    struct WaitingCall
    {
        std::shared_ptr<Call> call;
        std::size_t replica = 0;
        std::size_t triedCount = 0;
        bool isDone = false;
    };
    using WaitingCallPointer = std::shared_ptr<WaitingCall>;

    static constexpr std::uint64_t maxLagMs = 200;
    static constexpr Milliseconds answerDelay{2};
    static constexpr Milliseconds connectTimeout{500};
    static constexpr Milliseconds answerTimeout{2'000};

    void attempt(const std::shared_ptr<Call> &call, std::size_t triedCount)
    {
        if (triedCount == m_replicas.size()) {
            call->reply(configuration::ServiceFailed{call->request.callId});
            return;
        }
        const std::size_t index = (call->request.replica + triedCount) % m_replicas.size();
        const FakeReplica &replica = m_replicas[index];
        if (replica.isDown || !call->isReachable()) {
            m_schedule.after(replica.isDown ? answerDelay : connectTimeout, [this, call, triedCount] {
                attempt(call, triedCount + 1);
            });
            return;
        }
        const auto waiting = std::make_shared<WaitingCall>(WaitingCall{call, index, triedCount});
        const bool hasNewer = replica.visible.revision > call->request.after;
        const bool isAnsweredAtOnce = replica.visible.revision.count() > 0 && (hasNewer || replica.ignoresAfter);
        if (!isAnsweredAtOnce) {
            m_waiting.push_back(waiting);
        }
        m_schedule.after(isAnsweredAtOnce ? answerDelay : call->request.wait, [this, waiting] {
            finish(waiting);
        });
    }

    /** Answers a waiting call with newer content if there is any, otherwise without content. */
    void finish(const WaitingCallPointer &waiting)
    {
        if (waiting->isDone) {
            return;
        }
        waiting->isDone = true;
        std::erase(m_waiting, waiting);
        const auto call = waiting->call;
        if (!call->isReachable()) {
            // The answer is lost, so the caller waits until its timeout.
            m_schedule.after(answerTimeout, [this, waiting] {
                attempt(waiting->call, waiting->triedCount + 1);
            });
            return;
        }
        const FakeReplica &replica = m_replicas[waiting->replica];
        configuration::ServiceAnswered answer{call->request.callId, {}};
        if (replica.visible.revision > call->request.after || replica.ignoresAfter) {
            answer.snapshot = replica.visible;
        }
        call->reply(std::move(answer));
    }

    void updateReplica(std::size_t index)
    {
        FakeReplica &replica = m_replicas[index];
        if (replica.isStale || replica.isDown || replica.visible.revision >= m_latest.revision) {
            return;
        }
        replica.visible = m_latest;
        for (const auto &waiting : takeWaiting(index)) {
            m_schedule.after(answerDelay, [this, waiting] {
                finish(waiting);
            });
        }
    }

    std::vector<WaitingCallPointer> takeWaiting(std::size_t replica)
    {
        std::vector<WaitingCallPointer> taken;
        std::erase_if(m_waiting, [&](const WaitingCallPointer &waiting) {
            if (waiting->replica == replica) {
                taken.push_back(waiting);
            }
            return waiting->replica == replica;
        });
        if (m_replicas[replica].isDown) {
            for (const auto &waiting : taken) {
                waiting->isDone = true;
            }
        }
        return taken;
    }

    Schedule &m_schedule;
    std::vector<FakeReplica> m_replicas;
    std::vector<WaitingCallPointer> m_waiting;
    ConfigurationSnapshot m_latest;
    std::uint64_t m_callCount = 0;
};

} // namespace magnolia::testing
