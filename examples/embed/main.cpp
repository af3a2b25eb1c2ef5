// Embeds the membership module: two members in one program exchange messages under a simulated clock.
#include <iostream>
#include <map>
#include <membership/membershipcore.h>
#include <string>

using namespace magnolia;

int main()
{
    std::map<std::string, membership::MembershipState> members;
    for (const char *name : {"entry-1", "entry-2"}) {
        members.emplace(
            name, membership::makeMembershipState({}, InstanceId(name), Incarnation(1), std::string(name) + ":7001"));
    }
    PublishedList list;
    list.revision = 1;
    for (const auto &[name, state] : members) {
        PublishedInstance instance;
        instance.id = name;
        instance.peerAddress = name + ":7001";
        list.instances.push_back(instance);
    }
    Random random(1);
    for (int ms = 0; ms < 3000; ms += 50) {
        const membership::ClockReading now{MonoTime(Milliseconds(ms)), WallTime(Milliseconds(ms))};
        for (auto &[name, state] : members) {
            static_cast<void>(membership::applyPublishedList(state, list, now));
            for (const auto &outgoing : membership::tick(state, now, random).messages) {
                auto &receiver = members.at(outgoing.to.instance.value());
                for (const auto &answer :
                    membership::step(receiver, InstanceId(name), outgoing.message, now).messages) {
                    static_cast<void>(membership::step(
                        members.at(answer.to.instance.value()), outgoing.to.instance, answer.message, now));
                }
            }
        }
    }
    const MembershipView view = membership::makeMembershipView(members.at("entry-1"));
    const bool isAlive = view.peers.at(InstanceId("entry-2")).state == PeerState::Alive;
    std::cout << "entry-1 considers entry-2 " << (isAlive ? "alive" : "not alive") << '\n';
    return isAlive ? 0 : 1;
}
