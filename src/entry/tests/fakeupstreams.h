// Fake engines for tests of the runner: seeded faults under a virtual clock that moves while the runner waits.
#pragma once

#include "upstreams/iupstreamclient.h"

#include "framework/global/iclock.h"
#include "framework/global/random.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace magnolia::entry::testing
{

class FakeClock : public IClock
{
public:
    [[nodiscard]] MonoTime monotonicNow() const override
    {
        return m_now;
    }
    [[nodiscard]] WallTime wallNow() const override
    {
        return WallTime(std::chrono::hours(480000)) + toMilliseconds(m_now.time_since_epoch());
    }
    void advance(MonoTime::duration time)
    {
        m_now += time;
    }

private:
    MonoTime m_now{Seconds(1000)};
};

/** How likely each fault is, at each call or each time bytes are asked for. */
struct FaultRates
{
    double connectFails = 0;
    double breaksOnSend = 0;
    double refuses = 0;
    double leaves = 0;
    double silent = 0;
    double breaks = 0;
    double foreignEvent = 0;
    double repeatedEvent = 0;
    double skippedToken = 0;
    double forgetsStream = 0;
    /** The whole process is paused for a minute. */
    double processPauses = 0;
};

/** What reached the engines. */
struct FakeJournal
{
    /** Requests that an engine took on, not counting those it refused by its own word. */
    int executed = 0;
    /** Longest pause of the process that the schedule had. */
    Milliseconds paused{0};
};

class FakeUpstreams : public upstreams::IUpstreamClient
{
public:
    FakeUpstreams(FakeClock &clock, std::uint64_t seed, FaultRates rates, std::uint64_t tokens)
        : m_clock(clock)
        , m_random(seed)
        , m_rates(rates)
        , m_tokens(tokens)
    {
    }

    [[nodiscard]] Result<std::unique_ptr<upstreams::IUpstreamAnswer>> send(
        const upstreams::UpstreamCall &call, const std::function<Result<void>()> &mayDispatch) override;

    [[nodiscard]] const FakeJournal &journal() const
    {
        return m_journal;
    }
    [[nodiscard]] static std::string event(const std::string &request, std::uint64_t index)
    {
        const std::string i = std::to_string(index);
        return "id: " + i + "\ndata: {\"request_id\":\"" + request + "\",\"index\":" + i + ",\"text\":\"t" + i
            + "\"}\n\n";
    }

private:
    friend class FakeAnswer;

    FakeClock &m_clock;
    Random m_random;
    FaultRates m_rates;
    std::uint64_t m_tokens;
    FakeJournal m_journal;
    // Streams that engines still hold, by address and request.
    std::set<std::pair<std::string, std::string>> m_held;
};

} // namespace magnolia::entry::testing
