#include "gateway/serving/event_splitter.h"

#include <cstddef> // size_t
#include <memory>  // make_shared
#include <string>  // string
#include <vector>  // vector

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

// guards against MIXED and ORDER: a blank line made an event of whatever stood before it, such as
// the head of another response in a body that ends with its connection
TEST_CASE("regression: only well-formed events are relayed, wherever the bytes are split")
{
    const std::string sound = "id: 1\ndata: a\n\n";
    const std::vector<std::string> malformed_events{
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        "internal error\n\n",
        "id: 2\ndata: b\ninternal error\n\n",
        "id: 2\nerror message: b\n\n",
        "id: 2\n: a comment\n<p>b: c</p>\n\n",
        "data\n\n",
        "id: 2\ndata: b\rdata: c\n\n",
        "\n\n",
        "\r\n\r\n",
        "\nid: 2\n\n",
    };
    for (const std::string& malformed : malformed_events) {
        CAPTURE(malformed);
        const std::string stream = sound + malformed + "id: 3\ndata: c\n\n";
        for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
            CAPTURE(cut);
            event_splitter splitter;
            std::string relayed = splitter.take(stream.substr(0, cut));
            relayed += splitter.take(stream.substr(cut));
            CHECK(relayed == sound);
            CHECK(splitter.is_malformed());
            CHECK(splitter.last_id() == "1");
            CHECK(splitter.events() == 1);
        }
    }
}

TEST_CASE("fields of any name and comments are relayed")
{
    event_splitter splitter;
    const std::string events = ": comment\n\nx-weight-versions: 7\nid:1\nevent: token\ndata:\n\n"
                               "X-Name2: a:b\r\n:\r\nid: 2\r\n\r\n";
    CHECK(splitter.take(events) == events);
    CHECK_FALSE(splitter.is_malformed());
    CHECK_FALSE(splitter.has_partial());
    CHECK(splitter.last_id() == "2");
}

// guards against ORDER: events before a repeated one in the same bytes were dropped, but the stream
// was resumed after them, and every later event counted as out of order
TEST_CASE("regression: events before a faulty one are relayed, and a resumed stream goes on")
{
    const std::vector<std::string> faulty_events{"id: 2\ndata: b\n\n", "internal error\n\n"};
    for (const std::string& faulty : faulty_events) {
        CAPTURE(faulty);
        event_splitter splitter;
        CHECK(splitter.take("id: 1\n\nid: 2\n\n" + faulty + "id: 3\n\n") == "id: 1\n\nid: 2\n\n");
        CHECK((splitter.is_out_of_order() || splitter.is_malformed()));
        CHECK(splitter.take("id: 4\n\n").empty());
        CHECK(splitter.last_id() == "2");
        splitter.discard_partial();
        CHECK(splitter.take("id: 3\n\n") == "id: 3\n\n");
        CHECK_FALSE(splitter.is_out_of_order());
        CHECK_FALSE(splitter.is_malformed());
    }
}

// guards against LOST: an event without an end was kept until the process was out of memory
TEST_CASE("regression: an event over the maximum size, or over the budget, is a fault")
{
    const std::string block(65'536, 'w');
    SUBCASE("too large")
    {
        event_splitter splitter;
        CHECK(splitter.take("id: 1\ndata: a\n\nid: 2\ndata: ") == "id: 1\ndata: a\n\n");
        for (std::size_t sent = 0; sent <= event_splitter::max_event_bytes; sent += block.size()) {
            CHECK(splitter.take(block).empty());
        }
        CHECK(splitter.is_too_large());
        splitter.discard_partial();
        CHECK_FALSE(splitter.is_too_large());
        CHECK(splitter.last_id() == "1");
    }
    SUBCASE("over the budget")
    {
        const auto budget = std::make_shared<memory_budget>(1'000'000);
        event_splitter splitter{budget};
        for (int i = 0; i < 16; ++i) {
            CHECK(splitter.take(block).empty());
        }
        CHECK(splitter.is_out_of_memory());
        splitter.discard_partial();
        CHECK(budget->used() == 0);
    }
}
