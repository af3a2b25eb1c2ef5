// Membership cores with a virtual clock and a fake network, for tests and benchmarks. Not part of the product.
#pragma once

#include "framework/testing/schedule.h"
#include "membership/membershipcore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace magnolia::membership::testing
{

struct Packet
{
    MembershipMessage message;
    WallTime sentAt{};
};

/** A membership event on one node. */
struct ObservedChange
{
    MonoTime at{};
    std::string observer;
    MembershipEvent event;
};

class Cluster
{
public:
    explicit Cluster(std::uint64_t seed, std::size_t size, MembershipParameters parameters = {})
        : m_schedule(seed)
        , m_network(m_schedule)
        , m_parameters(parameters)
    {
        for (std::size_t i = 0; i < size; ++i) {
            addToList(nodeName(i));
        }
    }

    static std::string nodeName(std::size_t i)
    {
        return "e" + std::to_string(100 + i);
    }

    magnolia::testing::Schedule &schedule()
    {
        return m_schedule;
    }
    magnolia::testing::FakeNetwork<Packet> &network()
    {
        return m_network;
    }
    MembershipState &state(const std::string &name)
    {
        return m_nodes.at(name)->state;
    }
    [[nodiscard]] const std::vector<ObservedChange> &changes() const
    {
        return m_changes;
    }
    [[nodiscard]] std::vector<std::string> runningNodes() const
    {
        std::vector<std::string> names;
        for (const auto &[name, node] : m_nodes) {
            names.push_back(name);
        }
        return names;
    }
    /** Sets a callback for each sent message, for counting, and for encoding in benchmarks. */
    void setMessageObserver(std::function<void(const std::string &from, const OutgoingMessage &message)> observer)
    {
        m_messageObserver = std::move(observer);
    }

    /** Adds an instance to the published list; nodes see the change after `publishList`, or when they start. */
    void addToList(const std::string &name)
    {
        PublishedInstance instance;
        instance.id = name;
        instance.peerAddress = name + ":1";
        m_list.instances.push_back(instance);
        ++m_list.revision;
    }
    void removeFromList(const std::string &name)
    {
        std::erase_if(m_list.instances, [&](const PublishedInstance &instance) {
            return instance.id == name;
        });
        ++m_list.revision;
    }
    void publishList()
    {
        for (auto &[name, node] : m_nodes) {
            applyOutput(name, applyPublishedList(node->state, m_list, now()));
        }
    }

    /** Starts all listed nodes within a second. */
    void startAll()
    {
        for (const PublishedInstance &instance : m_list.instances) {
            m_schedule.after(Milliseconds(m_schedule.random().below(1000)), [this, name = instance.id] {
                start(name);
            });
        }
    }
    void start(const std::string &name)
    {
        auto node = std::make_shared<Node>();
        const auto incarnation = static_cast<std::uint64_t>(m_schedule.wallNow().time_since_epoch().count());
        node->state = makeMembershipState(m_parameters, InstanceId(name), Incarnation(incarnation), name + ":1");
        m_nodes[name] = node;
        m_network.attach(name, [this, name](const std::string &from, const Packet &packet) {
            receive(name, from, packet);
        });
        applyOutput(name, applyPublishedList(node->state, m_list, now()));
        tickLater(name, node, Milliseconds(m_schedule.random().below(tickInterval.count())));
    }
    void crash(const std::string &name)
    {
        m_network.detach(name);
        m_network.resume(name);
        m_nodes.erase(name);
    }
    /** Pauses a process: it neither ticks nor receives, and gets the messages sent to it when it resumes. */
    void pause(const std::string &name, MonoTime::duration duration)
    {
        m_network.pause(name);
        m_schedule.after(duration, [this, name] {
            m_network.resume(name);
            // The timers expire before the first waiting message is read, which is the worst-case order.
            const auto it = m_nodes.find(name);
            if (it != m_nodes.end()) {
                applyOutput(name, tick(it->second->state, now(), m_schedule.random()));
            }
        });
    }
    /** Records the events and sends the messages that a change of the node's state returned. */
    void applyOutput(const std::string &name, MembershipOutput output)
    {
        for (const MembershipEvent &event : output.events) {
            m_changes.push_back({m_schedule.now(), name, event});
        }
        for (OutgoingMessage &message : output.messages) {
            if (m_messageObserver) {
                m_messageObserver(name, message);
            }
            m_network.send(name, message.to.instance.value(), {std::move(message.message), m_schedule.wallNow()});
        }
    }
    [[nodiscard]] ClockReading now() const
    {
        return {m_schedule.now(), m_schedule.wallNow()};
    }

    [[nodiscard]] PeerState observedState(const std::string &observer, const std::string &subject) const
    {
        const MembershipView view = makeMembershipView(m_nodes.at(observer)->state);
        const auto it = view.peers.find(InstanceId(subject));
        return it == view.peers.end() ? PeerState::Dead : it->second.state;
    }
    /** Whether all running nodes other than the subject see it in the expected state. */
    [[nodiscard]] bool isSeenByAll(const std::string &subject, PeerState expected) const
    {
        for (const auto &[name, node] : m_nodes) {
            if (name != subject && observedState(name, subject) != expected) {
                return false;
            }
        }
        return true;
    }
    /** Whether all running nodes see exactly the running ones as alive. */
    [[nodiscard]] bool isConverged() const
    {
        for (const auto &[observer, node] : m_nodes) {
            for (const auto &[id, peer] : makeMembershipView(node->state).peers) {
                const PeerState expected = m_nodes.contains(id.value()) ? PeerState::Alive : PeerState::Dead;
                if (peer.state != expected) {
                    return false;
                }
            }
            if (node->state.members.size() + 1 < m_nodes.size()) {
                return false;
            }
        }
        return true;
    }
    /** Runs until `condition` holds, checked every 50 ms; false if it does not hold within `limit`. */
    bool runUntil(const std::function<bool()> &condition, MonoTime::duration limit)
    {
        const MonoTime end = m_schedule.now() + limit;
        while (m_schedule.now() < end) {
            if (condition()) {
                return true;
            }
            m_schedule.runFor(Milliseconds(50));
        }
        return condition();
    }

private:
    struct Node
    {
        MembershipState state;
    };

    void receive(const std::string &name, const std::string &from, const Packet &packet)
    {
        // Stands in for the maximum message age of the envelope.
        if (m_schedule.wallNow() - packet.sentAt > maxMessageAge) {
            return;
        }
        applyOutput(name, step(m_nodes.at(name)->state, InstanceId(from), packet.message, now()));
    }
    void tickLater(const std::string &name, const std::weak_ptr<Node> &weak, MonoTime::duration delay)
    {
        m_schedule.after(delay, [this, name, weak] {
            const auto node = weak.lock();
            if (!node) {
                return;
            }
            if (!m_network.isPaused(name)) {
                applyOutput(name, tick(node->state, now(), m_schedule.random()));
            }
            tickLater(name, weak, tickInterval);
        });
    }

    static constexpr Milliseconds tickInterval{100};
    static constexpr Milliseconds maxMessageAge{15000};

    magnolia::testing::Schedule m_schedule;
    magnolia::testing::FakeNetwork<Packet> m_network;
    MembershipParameters m_parameters;
    PublishedList m_list;
    std::map<std::string, std::shared_ptr<Node>> m_nodes;
    std::vector<ObservedChange> m_changes;
    std::function<void(const std::string &from, const OutgoingMessage &message)> m_messageObserver;
};

} // namespace magnolia::membership::testing
