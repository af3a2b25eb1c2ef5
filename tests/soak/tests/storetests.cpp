// Gateway processes before a store with faults: the published state that they have in force.
#include "gatewayprocess.h"
#include "soakstore.h"

#include "framework/httpclient/httpclient.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <memory>
#include <unistd.h>
#include <vector>

using namespace magnolia;
using namespace magnolia::soak;

namespace
{

using Json = nlohmann::json;

constexpr int firstPort = 22'000;
constexpr std::size_t gatewayCount = 3;
/** Well above the time in which a change has to be in force, well below the 28 s after which a watch is given up. */
constexpr Milliseconds applyLimit{12'000};
constexpr Milliseconds pollInterval{50};
constexpr std::size_t maxStatusSize = 1 << 20;

std::string loopbackAddress(std::size_t host)
{
    const int pid = static_cast<int>(::getpid());
    return "127." + std::to_string(220 + pid / 250 % 20) + '.' + std::to_string(1 + pid % 250) + '.'
        + std::to_string(host);
}

/** Three gateway processes before one store, and the status that each of them reports. */
class StoreFixture
{
public:
    StoreFixture()
        : m_directory(std::filesystem::temp_directory_path() / ("magnolia-store-" + std::to_string(::getpid())))
        , store(loop, loopbackAddress(2) + ":0")
        , m_statuses(gatewayCount)
    {
        std::filesystem::create_directories(m_directory);
        publish(1);
        constexpr std::size_t firstHost = 10;
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            seeds.push_back(loopbackAddress(firstHost + i));
        }
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            m_gateways.push_back(std::make_unique<GatewayProcess>(GatewayProcess::Options{MAGNOLIA_BINARY, m_directory,
                "s" + std::to_string(i), "z" + std::to_string(i), seeds[i], firstPort, store.address(), seeds}));
            m_gateways.back()->start();
        }
        pollStatuses();
    }
    ~StoreFixture()
    {
        m_gateways.clear();
        std::filesystem::remove_all(m_directory);
    }
    StoreFixture(const StoreFixture &) = delete;
    StoreFixture &operator=(const StoreFixture &) = delete;

    void publish(int version)
    {
        const Json configuration{{"Version", version}, {"Routes", Json::array()}, {"Services", Json::array()}};
        store.put("op/config", configuration.dump());
    }

    /** Runs the loop until `isDone`, for at most `time`; returns whether it was done. */
    bool runUntil(const std::function<bool()> &isDone, Milliseconds time)
    {
        const MonoTime begunAt = eventloop::EventLoop::readClock();
        std::function<void()> check = [&] {
            if (isDone() || eventloop::EventLoop::readClock() - begunAt > time) {
                loop.stop();
                return;
            }
            loop.after(pollInterval, check);
        };
        loop.after(Milliseconds(1), check);
        loop.run();
        return isDone();
    }

    [[nodiscard]] bool isInForceEverywhere(int version) const
    {
        return std::all_of(m_statuses.begin(), m_statuses.end(), [&](const Json &it) {
            return it.is_object() && it.value("configuration_version", 0) == version;
        });
    }

    eventloop::EventLoop loop;

private:
    void pollStatuses()
    {
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            const auto call = std::make_shared<httpclient::HttpClient>(
                loop, m_gateways[i]->metricsAddress(), eventloop::TcpTimeouts{}, maxStatusSize);
            call->send(
                "GET", "/status", {}, Milliseconds(1000), [this, i, call](const Result<httpclient::HttpReply> &reply) {
                    m_statuses[i] = reply ? Json::parse(reply->body, nullptr, false) : Json();
                });
        }
        loop.after(pollInterval, [this] {
            pollStatuses();
        });
    }

    std::filesystem::path m_directory;

public:
    SoakStore store;

private:
    std::vector<std::unique_ptr<GatewayProcess>> m_gateways;
    std::vector<Json> m_statuses;
};

} // namespace

TEST_CASE("a configuration is in force on all gateways after the answers to all their watches were lost")
{
    StoreFixture fixture;
    REQUIRE(fixture.runUntil(
        [&] {
            return fixture.isInForceEverywhere(1);
        },
        applyLimit));
    fixture.store.setMode(SoakStore::Mode::Silent);
    fixture.runUntil(
        [] {
            return false;
        },
        Milliseconds(500));
    fixture.store.setMode(SoakStore::Mode::Serving);
    fixture.publish(2);
    CHECK(fixture.runUntil(
        [&] {
            return fixture.isInForceEverywhere(2);
        },
        applyLimit));
}

TEST_CASE("a configuration that is published after the store came back older is in force on all gateways")
{
    StoreFixture fixture;
    REQUIRE(fixture.runUntil(
        [&] {
            return fixture.isInForceEverywhere(1);
        },
        applyLimit));
    // Revisions of the lost time, far above those that are given out again.
    fixture.store.takeCopy();
    for (int i = 0; i < 50; ++i) {
        fixture.store.put("other", std::to_string(i));
    }
    fixture.publish(2);
    REQUIRE(fixture.runUntil(
        [&] {
            return fixture.isInForceEverywhere(2);
        },
        applyLimit));
    fixture.store.restoreCopy(Milliseconds(300));
    fixture.runUntil(
        [] {
            return false;
        },
        Milliseconds(1000));
    CHECK(fixture.isInForceEverywhere(2));
    fixture.publish(3);
    CHECK(fixture.runUntil(
        [&] {
            return fixture.isInForceEverywhere(3);
        },
        applyLimit));
}
