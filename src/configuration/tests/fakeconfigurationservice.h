// A configuration service in virtual time: replicas that lag, go down, stay stale or answer with old content.
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
    /** Answers what it has at once, whatever revision the caller has seen. */
    bool ignoresAfter = false;
    /** When any of these last changed. */
    MonoTime disturbedAt{};
};

class FakeConfigurationService
{
public:
    using Reply = std::function<void(configuration::ConfigurationEvent)>;
    /** Whether the calling instance reaches the service now. */
    using Reach = std::function<bool()>;

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
            const Milliseconds lag(m_schedule.random().below(largestLagMs));
            m_schedule.after(lag, [this, i] {
                updateReplica(i);
            });
        }
    }
    void setStale(std::size_t replica, bool isStale, bool ignoresAfter)
    {
        m_replicas[replica].isStale = isStale;
        m_replicas[replica].ignoresAfter = isStale && ignoresAfter;
        m_replicas[replica].disturbedAt = m_schedule.now();
        updateReplica(replica);
    }
    void setDown(std::size_t replica, bool isDown)
    {
        m_replicas[replica].isDown = isDown;
        m_replicas[replica].disturbedAt = m_schedule.now();
        if (!isDown) {
            updateReplica(replica);
            return;
        }
        for (const auto &waiting : takeWaiting(replica)) {
            attempt(waiting->call, waiting->tried + 1);
        }
    }

    void call(const configuration::CallService &request, Reach reach, Reply reply)
    {
        ++m_callCount;
        attempt(std::make_shared<Call>(Call{request, std::move(reach), std::move(reply)}), 0);
    }

private:
    struct Call
    {
        configuration::CallService request;
        Reach reach;
        Reply reply;
    };
    struct Waiting
    {
        std::shared_ptr<Call> call;
        std::size_t replica = 0;
        std::size_t tried = 0;
        bool isDone = false;
    };
    using WaitingPointer = std::shared_ptr<Waiting>;

    static constexpr std::uint64_t largestLagMs = 200;
    static constexpr Milliseconds answerTime{2};
    static constexpr Milliseconds connectTimeout{500};
    static constexpr Milliseconds answerTimeout{2'000};

    void attempt(const std::shared_ptr<Call> &call, std::size_t tried)
    {
        if (tried == m_replicas.size()) {
            call->reply(configuration::ServiceFailed{call->request.callId});
            return;
        }
        const std::size_t index = (call->request.replica + tried) % m_replicas.size();
        const FakeReplica &replica = m_replicas[index];
        if (replica.isDown || !call->reach()) {
            m_schedule.after(replica.isDown ? answerTime : connectTimeout, [this, call, tried] {
                attempt(call, tried + 1);
            });
            return;
        }
        const auto waiting = std::make_shared<Waiting>(Waiting{call, index, tried});
        const bool hasNewer = replica.visible.revision > call->request.after;
        const bool isAnsweredAtOnce = replica.visible.revision.count() > 0 && (hasNewer || replica.ignoresAfter);
        if (!isAnsweredAtOnce) {
            m_waiting.push_back(waiting);
        }
        m_schedule.after(isAnsweredAtOnce ? answerTime : call->request.wait, [this, waiting] {
            finish(waiting);
        });
    }

    /** Answers with what is newer, or with nothing where the wait is over. */
    void finish(const WaitingPointer &waiting)
    {
        if (waiting->isDone) {
            return;
        }
        waiting->isDone = true;
        std::erase(m_waiting, waiting);
        const auto call = waiting->call;
        if (!call->reach()) {
            // The answer is lost on the way; the caller waits for it until its time-out.
            m_schedule.after(answerTimeout, [this, waiting] {
                attempt(waiting->call, waiting->tried + 1);
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
            m_schedule.after(answerTime, [this, waiting] {
                finish(waiting);
            });
        }
    }

    std::vector<WaitingPointer> takeWaiting(std::size_t replica)
    {
        std::vector<WaitingPointer> taken;
        std::erase_if(m_waiting, [&](const WaitingPointer &waiting) {
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
    std::vector<WaitingPointer> m_waiting;
    ConfigurationSnapshot m_latest;
    std::uint64_t m_callCount = 0;
};

} // namespace magnolia::testing
