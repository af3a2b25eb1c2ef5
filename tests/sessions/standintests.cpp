// Direct tests of the stand-ins, whose behaviour the session tests rely on.
#include "httpcall.h"
#include "sessionrecord.h"
#include "standinprocess.h"
#include "waiting.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace magnolia::sessions;

namespace
{

HttpRequest completionRequest(const std::string &id, const std::string &maxTokens, bool isStreamed)
{
    HttpRequest request{"POST", "/v1/completions", {{"X-Request-Id", id}, {"X-Max-Tokens", maxTokens}}, ""};
    request.headers.emplace_back("X-Owner", "entry-1/1");
    if (isStreamed) {
        request.headers.emplace_back("Accept", "text/event-stream");
    }
    request.body = R"({"model":"m-large","prompt":"How long is the queue at gate 4?"})";
    return request;
}

std::uint64_t freeKvTokens(const StandinProcess &engine)
{
    return fetchJson(engine.address(), "/v1/load").at("free_memory_tokens").get<std::uint64_t>();
}

const std::vector<std::string> fastEngineOptions{"--token-interval-ms", "2", "--load-lag-ms", "10"};

} // namespace

TEST_CASE("streamed and unstreamed answers of an engine match the golden file")
{
    const ScratchDirectory directory;
    const StandinProcess engine("engine", "engine-1", directory.path(), fastEngineOptions);
    SessionRecord record("standin-engine");
    for (const HttpRequest &it : {completionRequest("one", "4", true), completionRequest("two", "4", false)}) {
        record.add(it);
        record.add(call(engine.address(), it));
    }
    CHECK(record.text() == record.golden());
}

TEST_CASE("another engine continues a stream with the same tokens")
{
    const ScratchDirectory directory;
    const StandinProcess first("engine", "engine-1", directory.path(), fastEngineOptions);
    const StandinProcess second("engine", "engine-2", directory.path(), fastEngineOptions);
    const std::string whole = call(first.address(), completionRequest("one", "8", true)).body;
    HttpRequest rest = completionRequest("one", "8", true);
    rest.headers.emplace_back("X-Resume-From", "5");
    const std::string end = call(second.address(), rest).body;
    CHECK(whole.ends_with(end));
    CHECK(end.starts_with("id: 5\n"));
}

TEST_CASE("a stream stays held after its caller disconnects, until it is delivered or cancelled")
{
    const ScratchDirectory directory;
    const StandinProcess engine("engine", "engine-1", directory.path(), fastEngineOptions);
    const std::uint64_t total = freeKvTokens(engine);
    StreamingCall caller(engine.address(), completionRequest("one", "40", true));
    CHECK(caller.readHead().status == 200);
    CHECK(caller.readEvent().starts_with("id: 0\n"));
    caller.disconnect();

    CHECK(waitUntil([&] {
        const auto load = fetchJson(engine.address(), "/v1/load");
        return load.at("running") == 0 && load.at("free_memory_tokens") < total;
    }));
    const auto streams = fetchJson(engine.address(), "/v1/streams").at("streams");
    REQUIRE(streams.size() == 1);
    CHECK(streams[0].at("owner") == "entry-1/1");

    SECTION("resumed")
    {
        const std::string rest = call(engine.address(), {"GET", "/v1/streams/one?from=1", {}, ""}).body;
        CHECK(rest.starts_with("id: 1\n"));
        CHECK(rest.ends_with("data: [DONE]\n\n"));
    }
    SECTION("cancelled")
    {
        const HttpResponse response = call(engine.address(), {"DELETE", "/v1/streams/one", {}, ""});
        CHECK(nlohmann::json::parse(response.body).at("freed_tokens") > 0);
    }
    CHECK(waitUntil([&] {
        return freeKvTokens(engine) == total;
    }));
    CHECK(fetchJson(engine.address(), "/v1/streams").at("streams").empty());
}

TEST_CASE("an urgent prompt overtakes a long prefill, and a prompt that exceeds the free memory is refused")
{
    const ScratchDirectory directory;
    const StandinProcess engine(
        "engine", "engine-1", directory.path(), {"--prefill-tokens-per-s", "100000", "--memory-tokens", "100010000"});
    const auto prompt = [](const std::string &id, const std::string &tokens, const std::string &priority) {
        HttpRequest request = completionRequest(id, "1", true);
        request.headers.emplace_back("X-Prompt-Tokens", tokens);
        request.headers.emplace_back("X-Priority", priority);
        return request;
    };
    // At 100,000 tokens/s, this prefill would take 1000 seconds.
    StreamingCall longPrompt(engine.address(), prompt("patient", "100000000", "9"));
    CHECK(longPrompt.readHead().status == 200);
    CHECK(call(engine.address(), prompt("too-large", "20000", "1")).status == 503);
    const std::string response = call(engine.address(), prompt("urgent", "1000", "1")).body;
    CHECK(response.starts_with("id: 0\n"));
    CHECK(response.ends_with("[DONE]\n\n"));
    CHECK(fetchJson(engine.address(), "/v1/streams").at("streams").size() == 1);
}

TEST_CASE("reservations and handles hold memory until they are released")
{
    const ScratchDirectory directory;
    const std::vector<std::string> options{"--memory-tokens", "10000", "--load-lag-ms", "10"};
    const StandinProcess source("engine", "engine-1", directory.path(), options);
    const StandinProcess target("engine", "engine-2", directory.path(), options);
    const auto reserve = [&](const std::string &id, int tokens, int ttlMs) {
        const nlohmann::json body{{"id", id}, {"owner", "entry-1/1"}, {"tokens", tokens}, {"ttl_ms", ttlMs}};
        return postJson(target.address(), "/v1/reservations", body).status;
    };
    CHECK(reserve("a", 8000, 60'000) == 201);
    CHECK(reserve("a", 8000, 60'000) == 201);
    CHECK(reserve("b", 8000, 60'000) == 409);

    HttpRequest prompt = completionRequest("one", "1000", true);
    prompt.headers.emplace_back("X-Prompt-Tokens", "2000");
    StreamingCall caller(source.address(), prompt);
    CHECK(caller.readHead().status == 200);
    const auto exported
        = nlohmann::json::parse(postJson(source.address(), "/v1/kv/export", {{"request_id", "one"}}).body);
    CHECK(exported.at("tokens") == 3000);
    const std::string handle = exported.at("handle").get<std::string>();
    const nlohmann::json import{{"handle", handle}, {"from", source.address()}, {"reservation", "a"}};
    CHECK(postJson(target.address(), "/v1/kv/import", import).status == 200);
    CHECK(fetchJson(target.address(), "/v1/reservations").at("reservations").empty());
    CHECK(waitUntil([&] {
        return freeKvTokens(target) == 7000 && freeKvTokens(source) == 7000;
    }));
    for (const StandinProcess *it : {&source, &target}) {
        CHECK(call(it->address(), {"DELETE", "/v1/kv/" + handle, {}, ""}).status == 200);
    }
    CHECK(reserve("c", 5000, 1) == 201);
    CHECK(waitUntil([&] {
        return freeKvTokens(target) == 10'000 && freeKvTokens(source) == 10'000;
    }));
}

TEST_CASE("an order with an outdated fencing number is refused if the engine checks fencing")
{
    const ScratchDirectory directory;
    const StandinProcess checkingEngine("engine", "engine-1", directory.path(), {"--checks-fencing"});
    const StandinProcess ignoringEngine("engine", "engine-2", directory.path());
    const auto order = [](const StandinProcess &engine, int fencing) {
        const nlohmann::json body{{"fencing", fencing}, {"want", {{"model", "m-small"}, {"version", "2"}}}};
        return postJson(engine.address(), "/v1/orders", body).status;
    };
    CHECK(order(checkingEngine, 5) == 200);
    CHECK(order(checkingEngine, 4) == 409);
    CHECK(order(ignoringEngine, 5) == 200);
    CHECK(order(ignoringEngine, 4) == 200);
    CHECK(fetchJson(checkingEngine.address(), "/v1/orders").at("highest_fencing") == 5);
}

TEST_CASE("an engine applies the faults of answers")
{
    const ScratchDirectory directory;
    const StandinProcess engine("engine", "engine-1", directory.path(), fastEngineOptions);
    SECTION("truncated")
    {
        engine.control({{"truncate_after_tokens", 3}});
        const std::string body = call(engine.address(), completionRequest("one", "8", true)).body;
        CHECK(body.find("id: 2\n") != std::string::npos);
        CHECK(body.find("id: 3\n") == std::string::npos);
        CHECK(body.find("[DONE]") == std::string::npos);
    }
    SECTION("crossed")
    {
        engine.control({{"cross_answers", true}});
        const HttpResponse response = call(engine.address(), completionRequest("one", "2", true));
        CHECK(response.headers.at("X-Request-Id") != "one");
        CHECK(response.body.find("\"request_id\":\"one\"") == std::string::npos);
    }
    SECTION("repeated")
    {
        engine.control({{"repeat_events", true}});
        const std::string body = call(engine.address(), completionRequest("one", "2", true)).body;
        CHECK(body.find("id: 0\n") != body.rfind("id: 0\n"));
    }
    SECTION("dropped after the request ran")
    {
        engine.control({{"drop_after_request", true}});
        CHECK(call(engine.address(), completionRequest("one", "2", true)).status == 0);
        CHECK(engine.executedRequests().size() == 1);
    }
    SECTION("leaving")
    {
        engine.control({{"leaving", true}});
        const HttpResponse response = call(engine.address(), completionRequest("one", "2", true));
        CHECK(response.status == 503);
        CHECK(response.headers.at("X-Leaving") == "1");
        CHECK(engine.executedRequests().empty());
    }
}

TEST_CASE("silenced open connections do not affect new ones")
{
    const ScratchDirectory directory;
    const StandinProcess engine("engine", "engine-1", directory.path(), {"--token-interval-ms", "20"});
    StreamingCall silenced(engine.address(), completionRequest("one", "100", true));
    CHECK(silenced.readHead().status == 200);
    CHECK(silenced.readEvent().starts_with("id: 0\n"));
    engine.control({{"silence_open_connections", true}});
    CHECK(call(engine.address(), completionRequest("two", "2", true)).body.ends_with("[DONE]\n\n"));
    const std::string rest = call(engine.address(), {"GET", "/v1/streams/one?from=0", {}, ""}).body;
    CHECK(rest.find("id: 99\n") != std::string::npos);
}

TEST_CASE("the configuration service supports watches and can be stale or down")
{
    const ScratchDirectory directory;
    const StandinProcess platform("configuration", "configuration-1", directory.path());
    platform.publish({{"values", {{"models", "[\"m-large\"]"}}}});
    platform.publish({{"values", {{"models", "[\"m-large\",\"m-small\"]"}}}});
    CHECK(fetchJson(platform.address(), "/v1/config").at("revision") == 2);
    CHECK(call(platform.address(), {"GET", "/v1/config?after=2&wait_ms=20", {}, ""}).status == 204);
    CHECK(fetchJson(platform.address(), "/v1/config?after=1&wait_ms=20").at("revision") == 2);
    platform.control({{"stale", true}});
    CHECK(fetchJson(platform.address(), "/v1/config").at("revision") == 1);
    platform.control({{"stale", false}, {"down", true}});
    CHECK(call(platform.address(), {"GET", "/v1/config", {}, ""}).status == 503);
}

TEST_CASE("the weight store refuses reads above its rate limit")
{
    const ScratchDirectory directory;
    const StandinProcess store("weights", "weights-1", directory.path(), {"--rate-per-s", "0.001"});
    const HttpRequest read{"GET", "/v1/weights/m-large/1", {}, ""};
    CHECK(call(store.address(), read).status == 200);
    const HttpResponse refused = call(store.address(), read);
    CHECK(refused.status == 429);
    CHECK(refused.headers.count("Retry-After") == 1);
}

TEST_CASE("a plain service counts its executions by idempotency key")
{
    const ScratchDirectory directory;
    const StandinProcess service("service", "service-1", directory.path());
    HttpRequest booking{"POST", "/bookings", {{"X-Request-Id", "one"}, {"Idempotency-Key", "k-1"}}, "drum 7"};
    CHECK(nlohmann::json::parse(call(service.address(), booking).body).at("count") == 1);
    CHECK(nlohmann::json::parse(call(service.address(), booking).body).at("count") == 2);
    const auto rows = service.executedRequests();
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].at("body_hash") == rows[1].at("body_hash"));
}
