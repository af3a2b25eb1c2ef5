// Parsing of heads and bodies: valid, malformed, split and mutated input.
#include "framework/global/random.h"
#include "framework/httpwire/messagereader.h"
#include "framework/httpwire/messagewriter.h"
#include "framework/testing/fuzzing.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::httpwire;

namespace
{

constexpr std::size_t limit = 1024;

ReadState readRequest(std::string bytes, RequestHead &head)
{
    return readRequestHead(bytes, limit, head);
}

} // namespace

TEST_CASE("a request head is parsed and removed from the input")
{
    std::string input = "\r\nPOST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nX-Empty:\r\nX-Value:  v \r\n\r\nrest";
    RequestHead head;
    REQUIRE(readRequestHead(input, limit, head) == ReadState::Complete);
    CHECK(input == "rest");
    CHECK(head.method == "POST");
    CHECK(head.path() == "/a/b");
    CHECK(head.fields.value("x-value") == "v");
    CHECK(head.fields.has("X-Empty"));
}

TEST_CASE("a head is incomplete until its last byte has arrived")
{
    const std::string whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    for (std::size_t n = 0; n < whole.size(); ++n) {
        RequestHead head;
        CHECK(readRequest(whole.substr(0, n), head) == ReadState::Incomplete);
    }
}

TEST_CASE("heads that two parsers might read differently are rejected")
{
    RequestHead head;
    CHECK(readRequest("GET / HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n", head) == ReadState::Malformed);
    CHECK(readRequest("GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n folded\r\n\r\n", head) == ReadState::Malformed);
    CHECK(readRequest("GET / HTTP/1.1\r\nHost: h\r\nA: b\nC: d\r\n\r\n", head) == ReadState::Malformed);
    CHECK(readRequest("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", head) == ReadState::Malformed);
    CHECK(readRequest("GET / HTTP/1.1\r\n\r\n", head) == ReadState::Malformed);
    CHECK(readRequest("GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", head) == ReadState::Malformed);
    CHECK(readRequest("GET / HTTP/2.0\r\nHost: h\r\n\r\n", head) == ReadState::Malformed);
    CHECK(readRequest(std::string("GET / HTTP/1.1\r\nHost: h\r\nA: \0\r\n\r\n", 33), head) == ReadState::Malformed);
    CHECK(readRequest("GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(limit, 'a') + "\r\n\r\n", head)
        == ReadState::TooLarge);
}

TEST_CASE("contradictory framing of a request is rejected")
{
    RequestHead head;
    REQUIRE(readRequest("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", head)
        == ReadState::Complete);
    CHECK_FALSE(requestBodyDecoder(head));
    REQUIRE(readRequest("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", head)
        == ReadState::Complete);
    CHECK_FALSE(requestBodyDecoder(head));
    REQUIRE(readRequest("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", head)
        == ReadState::Complete);
    CHECK_FALSE(requestBodyDecoder(head));
    REQUIRE(readRequest("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", head) == ReadState::Complete);
    CHECK_FALSE(requestBodyDecoder(head));
}

TEST_CASE("a chunked body is decoded the same wherever its bytes are split")
{
    const std::string wire = "5\r\nhello\r\n6;ext=1\r\n world\r\n0\r\nTrailer: x\r\n\r\nnext";
    for (std::size_t step = 1; step <= wire.size(); ++step) {
        BodyDecoder decoder = BodyDecoder::chunked();
        std::string input;
        std::string body;
        for (std::size_t offset = 0; offset < wire.size(); offset += step) {
            input += wire.substr(offset, step);
            decoder.decode(input, body);
        }
        CHECK(decoder.isComplete());
        CHECK(body == "hello world");
        CHECK(input == "next");
    }
}

TEST_CASE("malformed chunks are detected")
{
    for (const std::string wire : {"x\r\n", "5\r\nhelloX\r\n", "-1\r\n", "fffffffffffffffff\r\n", "\r\n"}) {
        BodyDecoder decoder = BodyDecoder::chunked();
        std::string input = wire;
        std::string body;
        decoder.decode(input, body);
        CHECK(decoder.isMalformed());
        CHECK_FALSE(decoder.isComplete());
    }
}

TEST_CASE("the framing of a response is derived from its head")
{
    ResponseHead head;
    std::string input = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    REQUIRE(readResponseHead(input, limit, head) == ReadState::Complete);
    CHECK(responseBodyDecoder(head, "GET")->framing() == BodyFraming::Length);
    CHECK(responseBodyDecoder(head, "HEAD")->isComplete());
    input = "HTTP/1.1 200 OK\r\n\r\n";
    REQUIRE(readResponseHead(input, limit, head) == ReadState::Complete);
    CHECK(responseBodyDecoder(head, "GET")->framing() == BodyFraming::UntilClose);
    input = "garbage";
    CHECK(readResponseHead(input, limit, head) == ReadState::Malformed);
}

TEST_CASE("a status line is accepted with three digits and a printable reason only")
{
    // Guards against answers whose spoiled status line is handed to the caller.
    const auto read = [](std::string line, ResponseHead &head) {
        line += "\r\nA: b\r\n\r\n";
        return readResponseHead(line, limit, head);
    };
    ResponseHead head;
    for (const char *line : {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 20 OK", "HTTP/1.1 -20 OK",
             "HTTP/1.1 +20 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 200OK",
             "HTTP/1.1 200\tOK", "HTTP/1.1  200 OK", "HTTP/1.1 200 O\x0B", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7F",
             "HTTP/1.1 200 OK\nB: c", "HTTP/1.1 200\n", "HTTP/1.1 200 OK\r"}) {
        INFO(line);
        CHECK(read(line, head) == ReadState::Malformed);
    }
    CHECK(read(std::string("HTTP/1.1 200 O\0K", 16), head) == ReadState::Malformed);
    for (const char *line : {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK"}) {
        INFO(line);
        REQUIRE(read(line, head) == ReadState::Complete);
        CHECK(head.status == 200);
    }
    REQUIRE(read("HTTP/1.1 404 Not\tFound \xE9", head) == ReadState::Complete);
    CHECK(head.reason == "Not\tFound \xE9");
}

TEST_CASE("random bytes never crash the parsers, and a serialised head is parsed back unchanged")
{
    Random random(7);
    constexpr int rounds = 20'000;
    const std::string validText
        = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
    for (int i = 0; i < rounds; ++i) {
        std::string bytes = validText;
        for (std::uint64_t flips = random.below(6); flips > 0; --flips) {
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        }
        RequestHead head;
        if (readRequestHead(bytes, limit, head) == ReadState::Complete) {
            CHECK(head.target.front() == '/');
            if (auto body = requestBodyDecoder(head)) {
                std::string out;
                body->decode(bytes, out);
            }
            std::string serialised = writeRequestHead(head);
            RequestHead second;
            REQUIRE(readRequestHead(serialised, 2 * limit, second) == ReadState::Complete);
            CHECK(second.fields.entries == head.fields.entries);
        }
        ResponseHead response;
        static_cast<void>(readResponseHead(bytes, limit, response));
    }
}

TEST_CASE("fuzz: mutated requests are rejected, incomplete, or decoded within their announced length")
{
    const std::string whole = "POST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 4\r\n\r\nbody";
    const std::string chunked
        = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    Random random(21);
    for (int i = testing::fuzzRounds(); i > 0; --i) {
        const std::string bytes = testing::mutated(i % 2 == 0 ? whole : chunked, random);
        std::string input = bytes;
        RequestHead head;
        if (readRequestHead(input, limit, head) != ReadState::Complete) {
            // Only empty lines before the head may have been removed.
            std::string skipped = bytes.substr(0, bytes.size() - input.size());
            while (skipped.starts_with("\r\n")) {
                skipped.erase(0, 2);
            }
            if (!skipped.empty() || !bytes.ends_with(input)) {
                FAIL(bytes);
            }
            continue;
        }
        auto body = requestBodyDecoder(head);
        if (!body) {
            continue;
        }
        std::string decoded;
        body->decode(input, decoded);
        const bool hasLength = body->framing() == BodyFraming::Length;
        if (decoded.size() > bytes.size()
            || (hasLength && body->isComplete() && decoded.size() != body->contentLength()) || head.method.empty()
            || head.target.empty()) {
            FAIL(bytes);
        }
    }
}

TEST_CASE("fuzz: mutated responses are rejected, incomplete, or decoded within their size")
{
    const std::string whole
        = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    Random random(22);
    for (int i = testing::fuzzRounds(); i > 0; --i) {
        const std::string bytes = testing::mutated(i % 2 == 0 ? whole : chunked, random);
        std::string input = bytes;
        ResponseHead head;
        if (readResponseHead(input, limit, head) != ReadState::Complete) {
            continue;
        }
        auto body = responseBodyDecoder(head, "POST");
        if (!body) {
            continue;
        }
        std::string decoded;
        body->decode(input, decoded);
        if (decoded.size() > bytes.size() || head.status < 100 || head.status > 999) {
            FAIL(bytes);
        }
    }
}
