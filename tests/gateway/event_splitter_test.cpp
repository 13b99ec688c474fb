#include "gateway/serving/event_splitter.h"

#include <doctest/doctest.h>

using namespace hickorykeel::gateway;

TEST_CASE("only complete events are relayed, wherever the bytes are split")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        CAPTURE(cut);
        event_splitter splitter;
        std::string relayed = splitter.take(stream.substr(0, cut));
        relayed += splitter.take(stream.substr(cut));
        CHECK(relayed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        CHECK(splitter.last_id() == "2");
        CHECK(splitter.events() == 2);
        CHECK(splitter.has_partial());
    }
}

TEST_CASE("an event ends with LF or CRLF line ends")
{
    event_splitter splitter;
    CHECK(splitter.take("id: 7\r\ndata: a\r\n\r\n") == "id: 7\r\ndata: a\r\n\r\n");
    CHECK(splitter.last_id() == "7");
    CHECK_FALSE(splitter.has_partial());
}

TEST_CASE("a stream resumed at another endpoint continues after the last complete event")
{
    event_splitter splitter;
    splitter.take("id: 1\ndata: a\n\nid: 2\nda");
    splitter.discard_partial();
    CHECK(splitter.take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK_FALSE(splitter.is_out_of_order());
}

TEST_CASE("a repeated event is detected")
{
    event_splitter splitter;
    splitter.take("id: 1\n\nid: 2\n\n");
    splitter.take("id: 2\n\n");
    CHECK(splitter.is_out_of_order());
}
