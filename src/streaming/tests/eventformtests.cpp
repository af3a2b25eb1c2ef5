// Tests that only whole events with an id and data count as pieces of an answer.
#include "streaming/eventform.h"

#include <catch2/catch.hpp>

using namespace magnolia::streaming;

TEST_CASE("an event with one numeric id and data is a piece, with further fields too")
{
    for (const char *raw : {"id: 1\ndata: a\n\n", "id:0\ndata:\n\n", "\nid: 1\r\ndata: a\r\n\n",
             "weight-versions: 3\nid: 7\ndata: a\ndata: b\n\n", ": comment\nid: 18446744073709551615\ndata: a\n\n",
             "id: 18446744073709551616\ndata: a\n\n"}) {
        INFO(raw);
        CHECK(eventForm(raw) == EventForm::Piece);
    }
}

TEST_CASE("comments, reconnection times and blank lines are no part of an answer")
{
    for (const char *raw : {"\n\n", ":\n\n", ": keep\n: alive\n\n", "retry: 1000\n\n"}) {
        INFO(raw);
        CHECK(eventForm(raw) == EventForm::Empty);
    }
}

TEST_CASE("an event that is cut, joined with other bytes or has no id is malformed")
{
    for (const char *raw : {"data: a\n\n", "id: 1\n\n", "id: 1\nid: 2\ndata: a\n\n", "id: x\ndata: a\n\n",
             "id:\ndata: a\n\n", "id: -1\ndata: a\n\n", "id: 1.5\ndata: a\n\n", "error: overloaded\n\n",
             "{\"error\":\"overloaded\"}\n\n", "id: 3\ndaHTTP/1.1 500 X\nContent-Length: 7\n\n",
             "id: 3\ndata: a\r\n\r\nfailed\n\n", "HTTP/1.1 500 X\r\nid: 3\ndata: a\n\n"}) {
        INFO(raw);
        CHECK(eventForm(raw) == EventForm::Malformed);
    }
}
