// Engine memory comes back after any mix of faults, and nothing that is in use is taken away.
#include "framework/testing/schedule.h"
#include "kvmemory/reconciliation.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace magnolia;
using namespace magnolia::kvmemory;

namespace
{

constexpr Milliseconds longestFinish{20000};

struct FakeEntry
{
    std::uint64_t incarnation = 1;
    bool isAlive = true;
    bool isListed = true;
    std::set<std::string> active;
    AllocationHistory since;
};

/** Entries that run streams on engines; answers, cancels and whole entries get lost. */
class Fleet
{
public:
    Fleet(std::uint64_t seed, bool reconciles)
        : m_schedule(seed)
        , m_reconciles(reconciles)
    {
        for (int i = 0; i < 3; ++i) {
            m_entries["entry-" + std::to_string(i)] = {};
            m_engines["engine-" + std::to_string(i)] = {};
        }
    }

    /** Traffic and faults for a while, then quiet for longer than any request may take. */
    void run()
    {
        for (int i = 0; i < 40; ++i) {
            m_schedule.at(at(30), [this] {
                beginStream();
            });
        }
        for (int i = 0; i < 3; ++i) {
            m_schedule.at(at(30), [this] {
                crash();
            });
            m_schedule.at(at(30), [this] {
                cutOff();
            });
        }
        for (int tick = 0; tick < 90; ++tick) {
            m_schedule.at(MonoTime(Seconds(tick)), [this] {
                reconcileAll();
            });
        }
        m_schedule.runUntil(MonoTime(Seconds(90)));
    }

    [[nodiscard]] std::size_t heldStreams() const
    {
        std::size_t n = 0;
        for (const auto &[id, streams] : m_engines) {
            n += streams.size();
        }
        return n;
    }
    [[nodiscard]] int takenInUse() const
    {
        return m_takenInUse;
    }

private:
    using Streams = std::map<std::string, std::string>;

    MonoTime at(int seconds)
    {
        return MonoTime(Milliseconds(m_schedule.random().below(static_cast<std::uint64_t>(seconds) * 1000)));
    }
    std::string anyOf(const std::string &kind)
    {
        return kind + std::to_string(m_schedule.random().below(3));
    }

    void beginStream()
    {
        const std::string entryId = anyOf("entry-");
        FakeEntry &entry = m_entries[entryId];
        if (!entry.isAlive) {
            return;
        }
        const std::string engine = anyOf("engine-");
        const std::string id = "r-" + std::to_string(m_nextRequest++);
        const std::uint64_t incarnation = entry.incarnation;
        m_engines[engine][id] = entryId + '/' + std::to_string(incarnation);
        entry.active.insert(id);
        const Milliseconds length(m_schedule.random().below(static_cast<std::uint64_t>(longestFinish.count())));
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
        const std::string id = anyOf("entry-");
        FakeEntry &entry = m_entries[id];
        entry.isAlive = false;
        entry.active.clear();
        const bool isLast = std::none_of(m_entries.begin(), m_entries.end(), [](const auto &one) {
            return one.second.isAlive;
        });
        // With no entry left nobody could release anything.
        const bool isReplaced = isLast || m_schedule.random().chance(0.5);
        m_schedule.after(Seconds(2), [this, id, isReplaced] {
            FakeEntry &fresh = m_entries[id];
            fresh.isListed = isReplaced;
            fresh.isAlive = isReplaced;
            fresh.incarnation += isReplaced ? 1 : 0;
            fresh.since = {};
        });
    }
    // The others hold the entry for dead while it goes on working.
    void cutOff()
    {
        const std::string id = anyOf("entry-");
        m_cutOff.insert(id);
        m_schedule.after(Milliseconds(5000 + m_schedule.random().below(20000)), [this, id] {
            m_cutOff.erase(id);
        });
    }

    void reconcileAll()
    {
        if (!m_reconciles) {
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
        std::vector<EngineAllocation> held;
        for (const auto &[request, owner] : streams) {
            held.push_back({UpstreamId(engineId), AllocationKind::Stream, request, owner});
        }
        const MembershipView view = viewOf(id);
        const PublishedList list = listed();
        const ReconciliationContext facts{
            InstanceId(id), Incarnation(entry.incarnation), entry.active, view, list, longestFinish};
        for (const EngineAllocation &item :
            reconcile(entry.since, UpstreamId(engineId), held, facts, m_schedule.now())) {
            m_takenInUse += isInUse(item) ? 1 : 0;
            streams.erase(item.id);
        }
    }
    [[nodiscard]] bool isInUse(const EngineAllocation &item) const
    {
        return std::any_of(m_entries.begin(), m_entries.end(), [&item](const auto &one) {
            return one.second.isAlive && one.second.active.contains(item.id)
                && item.owner == one.first + '/' + std::to_string(one.second.incarnation);
        });
    }
    MembershipView viewOf(const std::string &self) const
    {
        MembershipView view;
        for (const auto &[id, entry] : m_entries) {
            const bool isReached = entry.isAlive && m_cutOff.contains(id) == m_cutOff.contains(self);
            PeerView peer;
            peer.state = isReached ? PeerState::Alive : PeerState::Dead;
            peer.incarnation = Incarnation(entry.incarnation);
            if (id != self) {
                view.peers[InstanceId(id)] = peer;
            }
        }
        return view;
    }
    PublishedList listed() const
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
    bool m_reconciles;
    std::map<std::string, FakeEntry> m_entries;
    std::map<std::string, Streams> m_engines;
    std::set<std::string> m_cutOff;
    int m_nextRequest = 0;
    int m_takenInUse = 0;
};

} // namespace

TEST_CASE("after any mix of faults and traffic every stream is released, and none that is in use")
{
    testing::forEachSeed(10000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Fleet fleet(seed, true);
        fleet.run();
        REQUIRE(fleet.takenInUse() == 0);
        REQUIRE(fleet.heldStreams() == 0);
    });
}

TEST_CASE("without reconciliation the same schedules leave streams behind")
{
    int leaking = 0;
    testing::forEachSeed(100, [&leaking](std::uint64_t seed) {
        Fleet fleet(seed, false);
        fleet.run();
        leaking += fleet.heldStreams() > 0 ? 1 : 0;
    });
    CHECK(leaking > 0);
}

TEST_CASE("an owner out of reach is left alone until no request of its can be under way")
{
    MembershipView view;
    PeerView away;
    away.state = PeerState::Dead;
    away.incarnation = Incarnation(7);
    view.peers[InstanceId("entry-2")] = away;
    PublishedList list;
    list.revision = 1;
    PublishedInstance listedEntry;
    listedEntry.id = "entry-2";
    list.instances.push_back(listedEntry);
    const std::set<std::string> active;
    const ReconciliationContext facts{InstanceId("entry-1"), Incarnation(3), active, view, list, longestFinish};
    const std::vector<EngineAllocation> held{{UpstreamId("e"), AllocationKind::Stream, "r-1", "entry-2/7"}};
    AllocationHistory since;
    const MonoTime begin(Seconds(100));
    CHECK(reconcile(since, UpstreamId("e"), held, facts, begin).empty());
    CHECK(reconcile(since, UpstreamId("e"), held, facts, begin + longestFinish).empty());
    CHECK(reconcile(since, UpstreamId("e"), held, facts, begin + longestFinish + unknownOwnerMargin) == held);
}

TEST_CASE("streams of an earlier incarnation are released at once")
{
    const MembershipView view;
    const PublishedList list;
    const std::set<std::string> active{"r-1"};
    const ReconciliationContext facts{InstanceId("entry-1"), Incarnation(3), active, view, list, longestFinish};
    const std::vector<EngineAllocation> held{{UpstreamId("e"), AllocationKind::Stream, "r-1", "entry-1/2"}};
    AllocationHistory since;
    CHECK(reconcile(since, UpstreamId("e"), held, facts, MonoTime(Seconds(1))) == held);
}
