// Tests that overload ends with its cause, with several entries, delayed load reports and callers that retry at once.
#include "admission/admissioncontroller.h"
#include "framework/testing/schedule.h"
#include "routing/tests/fakefleet.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>

using namespace magnolia;
using namespace magnolia::admission;
using magnolia::routing::testing::FakeFleet;
using magnolia::testing::forEachSeed;
using magnolia::testing::Schedule;

namespace
{

constexpr int entryCount = 3;
constexpr int engineCount = 3;
constexpr double prefillTokensPerSecond = 20'000;
constexpr Milliseconds reportLag{500};
constexpr Milliseconds firstTokenTarget{1000};

/** An engine that prefills one prompt at a time. */
struct Engine
{
    MonoTime freeAt{};
};

/** Callers, entries and engines on one virtual clock. Every caller retries almost at once, with up to five attempts. */
class OverloadSimulation
{
public:
    explicit OverloadSimulation(std::uint64_t seed)
        : m_schedule(seed)
        , m_fleet(engineCount)
    {
        for (int i = 0; i < entryCount; ++i) {
            m_controllers.push_back(std::make_unique<AdmissionController>(seed * 10 + static_cast<std::uint64_t>(i)));
        }
        for (int peer = 1; peer < entryCount; ++peer) {
            m_fleet.membership.peers[InstanceId("peer-" + std::to_string(peer))] = {};
        }
        report();
    }

    /** Offers requests of 2,000 tokens at `perSecond` until `end`. */
    void offer(double perSecond, MonoTime end)
    {
        if (m_schedule.now() >= end) {
            return;
        }
        const auto gap = Microseconds(static_cast<std::int64_t>(m_schedule.random().exponential(1e6 / perSecond)));
        m_schedule.after(gap, [this, perSecond, end] {
            ++m_offered;
            startAttempt(m_schedule.now(), 5);
            offer(perSecond, end);
        });
    }

    /** Offers requests for `duration`; returns the share that met the target, counted from their first attempt. */
    double shareOnTime(double perSecond, Seconds duration)
    {
        m_offered = 0;
        m_onTime = 0;
        m_countedFrom = m_schedule.now();
        offer(perSecond, m_schedule.now() + duration);
        m_schedule.runFor(duration);
        return m_offered > 0 ? static_cast<double>(m_onTime) / m_offered : 1;
    }

    [[nodiscard]] int admittedLate() const
    {
        return m_admittedLate;
    }

private:
    void report()
    {
        std::map<UpstreamId, UpstreamLoad> measured;
        for (int i = 0; i < engineCount; ++i) {
            const std::chrono::duration<double> busy
                = std::max(MonoTime::duration{0}, m_engines[i].freeAt - m_schedule.now());
            const auto queued = static_cast<std::uint64_t>(busy.count() * prefillTokensPerSecond);
            measured[UpstreamId("e" + std::to_string(i))]
                = {1, static_cast<std::uint32_t>(queued / 2000), Tokens(queued), Tokens(400'000), m_schedule.now()};
        }
        m_schedule.after(reportLag, [this, measured] {
            for (const auto &[id, load] : measured) {
                m_fleet.load.upstreams[id] = load;
            }
            report();
        });
    }

    void startAttempt(MonoTime firstAttemptAt, int attemptsLeft)
    {
        AdmissionController &controller = *m_controllers[m_schedule.random().below(entryCount)];
        m_fleet.now = m_schedule.now();
        m_fleet.list.readAt = m_schedule.now();
        routing::RoutingRequest request = m_fleet.request(2000, std::to_string(m_nextId++));
        request.firstTokenDue = m_schedule.now() + firstTokenTarget;
        request.finishDue = request.firstTokenDue + Seconds(20);
        const auto admission = controller.admit(request, context(), m_schedule.now());
        if (!admission) {
            scheduleRetry(firstAttemptAt, attemptsLeft);
            return;
        }
        controller.recordDispatch(request, admission->decision, m_schedule.now());
        Engine &engine = m_engines[admission->decision.chosen.upstream.value().back() - '0'];
        const auto prefillTime = std::chrono::duration<double>(2000 / prefillTokensPerSecond);
        engine.freeAt
            = std::max(engine.freeAt, m_schedule.now()) + std::chrono::duration_cast<MonoTime::duration>(prefillTime);
        m_schedule.at(engine.freeAt, [this, request, firstAttemptAt, attemptsLeft, &controller] {
            controller.recordFirstToken(request.id, m_schedule.now());
            controller.recordFinish(request.id, Tokens(1), m_schedule.now());
            const bool isLate = m_schedule.now() > request.firstTokenDue;
            m_admittedLate += isLate ? 1 : 0;
            if (isLate) {
                scheduleRetry(firstAttemptAt, attemptsLeft);
            } else if (firstAttemptAt >= m_countedFrom && m_schedule.now() - firstAttemptAt <= firstTokenTarget) {
                ++m_onTime;
            }
        });
    }

    void scheduleRetry(MonoTime firstAttemptAt, int attemptsLeft)
    {
        if (attemptsLeft > 1) {
            m_schedule.after(Milliseconds(50 + m_schedule.random().below(50)), [this, firstAttemptAt, attemptsLeft] {
                startAttempt(firstAttemptAt, attemptsLeft - 1);
            });
        }
    }

    [[nodiscard]] AdmissionContext context() const
    {
        AdmissionContext context;
        context.list = &m_fleet.list;
        context.load = &m_fleet.load;
        context.health = &m_fleet.health;
        context.membership = &m_fleet.membership;
        context.wallNow = m_schedule.wallNow();
        return context;
    }

    Schedule m_schedule;
    FakeFleet m_fleet;
    Engine m_engines[engineCount];
    std::vector<std::unique_ptr<AdmissionController>> m_controllers;
    MonoTime m_countedFrom{};
    std::uint64_t m_nextId = 0;
    int m_offered = 0;
    int m_onTime = 0;
    int m_admittedLate = 0;
};

} // namespace

TEST_CASE("goodput recovers within ten seconds after a retry storm")
{
    forEachSeed(10, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        OverloadSimulation simulation(seed);
        // The engines can serve 30 requests per second.
        const double before = simulation.shareOnTime(15, Seconds(20));
        CHECK(before > 0.95);
        (void)simulation.shareOnTime(90, Seconds(20));
        (void)simulation.shareOnTime(15, Seconds(10));
        const double after = simulation.shareOnTime(15, Seconds(10));
        CHECK(after >= before * 0.95);
    });
}

TEST_CASE("under overload most admitted requests meet their target")
{
    forEachSeed(10, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        OverloadSimulation simulation(seed);
        (void)simulation.shareOnTime(15, Seconds(20));
        // Three times the capacity: a third of the requests can be served, and two thirds of that third must be.
        CHECK(simulation.shareOnTime(90, Seconds(20)) > 0.22);
        CHECK(simulation.admittedLate() < 90);
    });
}
