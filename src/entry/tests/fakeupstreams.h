// Fake engines for tests of the runner, with seeded faults and a virtual clock that advances while the runner waits.
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

/** Probability of each fault per call or per read. */
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
    /** The whole process is paused for one minute. */
    double processPauses = 0;
};

/** Record of the events at the engines. */
struct FakeJournal
{
    /** Number of requests that an engine started to run, without those that it refused. */
    int executed = 0;
    /** Longest pause of the process in this schedule. */
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
    // Streams that the engines still hold, as address and request id.
    std::set<std::pair<std::string, std::string>> m_held;
};

} // namespace magnolia::entry::testing
