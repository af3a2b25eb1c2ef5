// A small in-memory fleet for tests of routing and admission.
#pragma once

#include "routing/types/routingcontext.h"
#include "routing/types/routingrequest.h"

#include <string>

namespace magnolia::routing::testing
{

/** Engines `e0`, `e1`, ... of model `m`, and instances `s0`, ... of service `stock`; all idle, reports 100 ms old. */
struct FakeFleet
{
    PublishedList list;
    LoadTable load;
    UpstreamHealthTable health;
    MembershipView membership;
    observing::OwnWorkTable ownWork;
    observing::LearnedRates rates;
    PrefixHintTable prefixHints;
    MonoTime now{Seconds(100)};

    explicit FakeFleet(int engines, int services = 0)
    {
        list.revision = 1;
        list.readAt = now - Milliseconds(200);
        for (int i = 0; i < engines; ++i) {
            add("e" + std::to_string(i), InstanceRole::Engine, "m");
        }
        for (int i = 0; i < services; ++i) {
            add("s" + std::to_string(i), InstanceRole::Service, "stock");
        }
    }

    void add(const std::string &id, InstanceRole role, const std::string &serves)
    {
        PublishedInstance instance;
        instance.id = id;
        instance.role = role;
        instance.address = "127.0.0.1:" + std::to_string(9000 + list.instances.size());
        instance.serves = {serves};
        instance.memory = Tokens(400'000);
        list.instances.push_back(instance);
        load.upstreams[UpstreamId(id)] = {0, 0, Tokens(0), Tokens(400'000), now - Milliseconds(100)};
    }

    [[nodiscard]] RoutingContext context() const
    {
        RoutingContext context;
        context.list = &list;
        context.load = &load;
        context.health = &health;
        context.membership = &membership;
        context.ownWork = &ownWork;
        context.rates = &rates;
        context.prefixHints = &prefixHints;
        context.wallNow = WallTime(Seconds(1'700'000'000));
        return context;
    }

    [[nodiscard]] RoutingRequest request(std::uint64_t promptTokens, const std::string &id = "r") const
    {
        RoutingRequest request;
        request.id = RequestId(id);
        request.classId = ClassId("counter");
        request.organisation = OrganisationId("tambor-verde");
        request.target = "m";
        request.prompt = Tokens(promptTokens);
        request.maxOutput = Tokens(100);
        request.arrivedAt = now;
        request.firstTokenDue = now + (promptTokens > 30'000 ? Seconds(60) : Seconds(1));
        request.finishDue = request.firstTokenDue + Seconds(20);
        return request;
    }
};

} // namespace magnolia::routing::testing
