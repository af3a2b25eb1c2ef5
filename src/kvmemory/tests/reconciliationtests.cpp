// Tests that unused engine memory is released after any faults, and memory in use is not.
#include "framework/testing/schedule.h"
#include "kvmemory/reconciliation.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace magnolia;
using namespace magnolia::kvmemory;

namespace
{

constexpr Milliseconds maxFinishTime{20000};

struct FakeEntry
{
    std::uint64_t incarnation = 1;
    bool isAlive = true;
    bool isListed = true;
    std::set<std::string> active;
    AllocationHistory history;
};

/** Entries with streams on engines; cancels get lost, entries crash and are partitioned. */
class Fleet
{
public:
    Fleet(std::uint64_t seed, bool hasReconciliation)
        : m_schedule(seed)
        , m_hasReconciliation(hasReconciliation)
    {
        for (int i = 0; i < 3; ++i) {
            m_entries["entry-" + std::to_string(i)] = {};
            m_engines["engine-" + std::to_string(i)] = {};
        }
    }

    /** Runs traffic and faults, followed by a quiet time longer than any request. */
    void run()
    {
        for (int i = 0; i < 40; ++i) {
            m_schedule.at(randomTime(30), [this] {
                beginStream();
            });
        }
        for (int i = 0; i < 3; ++i) {
            m_schedule.at(randomTime(30), [this] {
                crash();
            });
            m_schedule.at(randomTime(30), [this] {
                partition();
            });
        }
        for (int tick = 0; tick < 90; ++tick) {
            m_schedule.at(MonoTime(Seconds(tick)), [this] {
                reconcileAll();
            });
        }
        m_schedule.runUntil(MonoTime(Seconds(90)));
    }

    [[nodiscard]] std::size_t heldStreamCount() const
    {
        std::size_t n = 0;
        for (const auto &[id, streams] : m_engines) {
            n += streams.size();
        }
        return n;
    }
    [[nodiscard]] int releasedInUseCount() const
    {
        return m_releasedInUseCount;
    }

private:
    using Streams = std::map<std::string, std::string>;

    MonoTime randomTime(int seconds)
    {
        return MonoTime(Milliseconds(m_schedule.random().below(static_cast<std::uint64_t>(seconds) * 1000)));
    }
    std::string randomId(const std::string &kind)
    {
        return kind + std::to_string(m_schedule.random().below(3));
    }

    void beginStream()
    {
        const std::string entryId = randomId("entry-");
        FakeEntry &entry = m_entries[entryId];
        if (!entry.isAlive) {
            return;
        }
        const std::string engine = randomId("engine-");
        const std::string id = "r-" + std::to_string(m_nextRequest++);
        const std::uint64_t incarnation = entry.incarnation;
        m_engines[engine][id] = entryId + '/' + std::to_string(incarnation);
        entry.active.insert(id);
        const Milliseconds length(m_schedule.random().below(static_cast<std::uint64_t>(maxFinishTime.count())));
        const bool isCancelLost = m_schedule.random().chance(0.3);
        m_schedule.after(length, [this, entryId, engine, id, incarnation, isCancelLost] {
            FakeEntry &owner = m_entries[entryId];
            if (owner.incarnation != incarnation || !owner.isAlive) {
                return;
            }
            owner.active.erase(id);
            if (!isCancelLost) {
                m_engines[engine].erase(id);
            }
        });
    }
    void crash()
    {
        const std::string id = randomId("entry-");
        FakeEntry &entry = m_entries[id];
        entry.isAlive = false;
        entry.active.clear();
        const bool isLast = std::none_of(m_entries.begin(), m_entries.end(), [](const auto &it) {
            return it.second.isAlive;
        });
        // At least one entry must survive, since nothing else releases memory.
        const bool isReplaced = isLast || m_schedule.random().chance(0.5);
        m_schedule.after(Seconds(2), [this, id, isReplaced] {
            FakeEntry &restarted = m_entries[id];
            restarted.isListed = isReplaced;
            restarted.isAlive = isReplaced;
            restarted.incarnation += isReplaced ? 1 : 0;
            restarted.history = {};
        });
    }
    // The other entries consider this one dead while it continues to work.
    void partition()
    {
        const std::string id = randomId("entry-");
        m_partitioned.insert(id);
        m_schedule.after(Milliseconds(5000 + m_schedule.random().below(20000)), [this, id] {
            m_partitioned.erase(id);
        });
    }

    void reconcileAll()
    {
        if (!m_hasReconciliation) {
            return;
        }
        for (auto &[id, entry] : m_entries) {
            if (!entry.isAlive) {
                continue;
            }
            for (auto &[engineId, streams] : m_engines) {
                reconcileOne(id, entry, engineId, streams);
            }
        }
    }
    void reconcileOne(const std::string &id, FakeEntry &entry, const std::string &engineId, Streams &streams)
    {
        std::vector<EngineAllocation> reported;
        for (const auto &[request, owner] : streams) {
            reported.push_back({UpstreamId(engineId), AllocationKind::Stream, request, owner});
        }
        const MembershipView view = viewOf(id);
        const PublishedList list = publishedList();
        const ReconciliationContext context{
            InstanceId(id), Incarnation(entry.incarnation), entry.active, view, list, maxFinishTime};
        for (const EngineAllocation &allocation :
            reconcile(entry.history, UpstreamId(engineId), reported, context, m_schedule.now())) {
            m_releasedInUseCount += isInUse(allocation) ? 1 : 0;
            streams.erase(allocation.id);
        }
    }
    [[nodiscard]] bool isInUse(const EngineAllocation &allocation) const
    {
        return std::any_of(m_entries.begin(), m_entries.end(), [&allocation](const auto &it) {
            return it.second.isAlive && it.second.active.contains(allocation.id)
                && allocation.owner == it.first + '/' + std::to_string(it.second.incarnation);
        });
    }
    MembershipView viewOf(const std::string &self) const
    {
        MembershipView view;
        for (const auto &[id, entry] : m_entries) {
            const bool isReachable = entry.isAlive && m_partitioned.contains(id) == m_partitioned.contains(self);
            PeerView peer;
            peer.state = isReachable ? PeerState::Alive : PeerState::Dead;
            peer.incarnation = Incarnation(entry.incarnation);
            if (id != self) {
                view.peers[InstanceId(id)] = peer;
            }
        }
        return view;
    }
    PublishedList publishedList() const
    {
        PublishedList list;
        list.revision = 1;
        for (const auto &[id, entry] : m_entries) {
            if (entry.isListed) {
                PublishedInstance instance;
                instance.id = id;
                list.instances.push_back(instance);
            }
        }
        return list;
    }

    testing::Schedule m_schedule;
    bool m_hasReconciliation;
    std::map<std::string, FakeEntry> m_entries;
    std::map<std::string, Streams> m_engines;
    std::set<std::string> m_partitioned;
    int m_nextRequest = 0;
    int m_releasedInUseCount = 0;
};

} // namespace

TEST_CASE("after any faults all streams are released, but none while it is in use")
{
    testing::forEachSeed(10000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Fleet fleet(seed, true);
        fleet.run();
        REQUIRE(fleet.releasedInUseCount() == 0);
        REQUIRE(fleet.heldStreamCount() == 0);
    });
}

TEST_CASE("without reconciliation the same schedules leak streams")
{
    int leakingRuns = 0;
    testing::forEachSeed(100, [&leakingRuns](std::uint64_t seed) {
        Fleet fleet(seed, false);
        fleet.run();
        leakingRuns += fleet.heldStreamCount() > 0 ? 1 : 0;
    });
    CHECK(leakingRuns > 0);
}

TEST_CASE("allocations of an unreachable owner are kept until its requests must have ended")
{
    MembershipView view;
    PeerView unreachable;
    unreachable.state = PeerState::Dead;
    unreachable.incarnation = Incarnation(7);
    view.peers[InstanceId("entry-2")] = unreachable;
    PublishedList list;
    list.revision = 1;
    PublishedInstance listedEntry;
    listedEntry.id = "entry-2";
    list.instances.push_back(listedEntry);
    const std::set<std::string> active;
    const ReconciliationContext context{InstanceId("entry-1"), Incarnation(3), active, view, list, maxFinishTime};
    const std::vector<EngineAllocation> reported{{UpstreamId("e"), AllocationKind::Stream, "r-1", "entry-2/7"}};
    AllocationHistory history;
    const MonoTime begin(Seconds(100));
    CHECK(reconcile(history, UpstreamId("e"), reported, context, begin).empty());
    CHECK(reconcile(history, UpstreamId("e"), reported, context, begin + maxFinishTime).empty());
    CHECK(
        reconcile(history, UpstreamId("e"), reported, context, begin + maxFinishTime + unknownOwnerMargin) == reported);
}

TEST_CASE("streams of an earlier incarnation of their owner are released at once")
{
    const MembershipView view;
    const PublishedList list;
    const std::set<std::string> active{"r-1"};
    const ReconciliationContext context{InstanceId("entry-1"), Incarnation(3), active, view, list, maxFinishTime};
    const std::vector<EngineAllocation> reported{{UpstreamId("e"), AllocationKind::Stream, "r-1", "entry-1/2"}};
    AllocationHistory history;
    CHECK(reconcile(history, UpstreamId("e"), reported, context, MonoTime(Seconds(1))) == reported);
}
