// Tests of the distribution of extension records to parts.
#include "gateway/internal/extensionhandlers.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;

TEST_CASE("extension records reach the part of their tag, and unknown tags are skipped")
{
    ExtensionHandlers handlers;
    CHECK(handlers.capabilities() == 0);
    std::vector<std::string> received;
    const auto addPart = [&](std::uint32_t tag, fleet::Capability capability, const std::string &name) {
        handlers.add(
            tag, capability,
            [tag, name] {
                return std::vector<fleet::ExtensionRecord>{{tag, name}};
            },
            [&received, name](const std::string &instance, const fleet::ExtensionRecord &record) {
                received.push_back(instance + '/' + name + '/' + record.bytes);
            });
    };
    addPart(fleet::extensiontags::coldUpstream, fleet::Capability::ColdBudgets, "cold");
    addPart(fleet::extensiontags::evacuation, fleet::Capability::Evacuations, "evacuation");
    CHECK(handlers.capabilities() == 3);
    CHECK(handlers.ownRecords() == std::vector<fleet::ExtensionRecord>{{1, "cold"}, {2, "evacuation"}});
    handlers.dispatch("peer", {{2, "x"}, {77, "unknown"}, {1, "y"}});
    CHECK(received == std::vector<std::string>{"peer/evacuation/x", "peer/cold/y"});
}
